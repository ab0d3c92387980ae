#include "support/queryoptions.h"

#include <QUrlQuery>

namespace damaskhollow::test {

QueryOptions QueryOptions::FromTarget(std::string_view target) {
  const std::size_t mark = target.find('?');
  return mark == std::string_view::npos ? QueryOptions() : FromQueryString(target.substr(mark + 1));
}

QueryOptions QueryOptions::FromQueryString(std::string_view text) {
  QueryOptions options;
  const QUrlQuery query(QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size())));
  const auto items = query.queryItems(QUrl::FullyDecoded);
  for (const auto& [name, value] : items) {
    options.m_values[name.toStdString()] = value.toStdString();
  }
  return options;
}

void QueryOptions::AddMissing(const QueryOptions& other) {
  m_values.insert(other.m_values.begin(), other.m_values.end());
}

bool QueryOptions::Has(std::string_view name) const { return m_values.contains(name); }

std::string QueryOptions::Text(std::string_view name) const {
  const auto found = m_values.find(name);
  return found == m_values.end() ? std::string() : found->second;
}

double QueryOptions::Number(std::string_view name, double default_value) const {
  bool is_number = false;
  const double number = QString::fromStdString(Text(name)).toDouble(&is_number);
  return is_number ? number : default_value;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

}  // namespace damaskhollow::test
