#include "control/evacuationservice.h"

#include <QJsonArray>
#include <algorithm>
#include <string_view>
#include <utility>

#include "configuration/documentversion.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

bool IsDeclared(const Declaration& declaration, const DataCentreId& data_centre) {
  return std::any_of(
      declaration.regions.begin(), declaration.regions.end(), [&](const Region& region) {
        return std::find(region.data_centres.begin(), region.data_centres.end(), data_centre) !=
               region.data_centres.end();
      });
}

void LogChange(std::string_view event, const DataCentreId& data_centre, std::uint64_t version) {
  const HistoryPosition position = PositionOf(version);
  EventLine(LogPart::kFleet, LogLevel::kWarning, event)
      .With("data_centre", data_centre.Value())
      .With("epoch", static_cast<std::int64_t>(position.epoch))
      .With("version", static_cast<std::int64_t>(position.revision));
}

}  // namespace

EvacuationService::EvacuationService(MetricsRegistry& metrics, std::function<void()> on_changed)
    : m_metrics(metrics), m_on_changed(std::move(on_changed)) {}

void EvacuationService::Offer(const EvacuationSet& evacuations) {
  const std::set<DataCentreId> before = m_tracker.Current().data_centres;
  if (!m_tracker.Offer(evacuations, MonotonicNow())) return;
  const EvacuationSet& current = m_tracker.Current();
  for (const DataCentreId& data_centre : before) {
    if (!current.data_centres.contains(data_centre)) {
      LogChange("evacuation_ended", data_centre, current.version);
    }
  }
  for (const DataCentreId& data_centre : current.data_centres) {
    if (!before.contains(data_centre)) {
      LogChange("evacuation_started", data_centre, current.version);
    }
  }
  m_metrics.Set(Metric::kEvacuatedDataCentres, current.data_centres.size());
  m_on_changed();
}

void EvacuationService::HandleGossip(const wire::Gossip& gossip) {
  if (!gossip.has_evacuations()) return;
  EvacuationSet evacuations;
  evacuations.version = gossip.evacuations().version();
  for (const std::string& data_centre : gossip.evacuations().data_centres()) {
    evacuations.data_centres.insert(DataCentreId(data_centre));
  }
  Offer(evacuations);
}

void EvacuationService::AddTo(wire::Gossip& gossip) const {
  const EvacuationSet& current = m_tracker.Current();
  if (current.version == 0) return;
  wire::Evacuations& evacuations = *gossip.mutable_evacuations();
  evacuations.set_version(current.version);
  for (const DataCentreId& data_centre : current.data_centres) {
    evacuations.add_data_centres(data_centre.Value());
  }
}

std::shared_ptr<const Declaration> EvacuationService::Apply(
    const std::shared_ptr<const Declaration>& declaration) const {
  if (m_tracker.Current().data_centres.empty()) return declaration;
  auto joined = std::make_shared<Declaration>(*declaration);
  for (const DataCentreId& data_centre : m_tracker.Current().data_centres) {
    if (joined->IsEvacuated(data_centre) || !IsDeclared(*joined, data_centre)) continue;
    joined->evacuated_data_centres.push_back(data_centre);
  }
  return joined;
}

void EvacuationService::AddStatus(QJsonObject& status, const Declaration& declaration,
                                  std::size_t running_calls) const {
  QJsonArray data_centres;
  for (const DataCentreId& data_centre : declaration.evacuated_data_centres) {
    data_centres.append(QString::fromStdString(data_centre.Value()));
  }
  const HistoryPosition position = PositionOf(m_tracker.Current().version);
  QJsonObject evacuations{{"data_centres", data_centres},
                          {"epoch", static_cast<qint64>(position.epoch)},
                          {"version", static_cast<qint64>(position.revision)},
                          {"running_calls", static_cast<qint64>(running_calls)}};
  if (const std::optional<TimePoint> since = m_tracker.Since()) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicNow() - *since);
    evacuations.insert("changed_ms_ago", static_cast<qint64>(age.count()));
  }
  status.insert("evacuations", evacuations);
}

}  // namespace damaskhollow
