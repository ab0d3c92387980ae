#include "declaration/declarationdiff.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <span>

namespace damaskhollow {

namespace {

// A compared field of an entry: its name in the file, a function that formats its value, and the
// effect of a change.
template <class Entry>
struct Field {
  std::string_view name;
  std::string (*text)(const Entry&);
  std::string_view effect;
};

// How entries of one type are named and compared.
template <class Entry>
struct EntryKind {
  std::string_view noun;
  std::span<const Field<Entry>> fields;
  std::string_view added_effect;
  std::string_view removed_effect;
};

std::string TextOf(const std::string& value) { return value.empty() ? "(none)" : value; }
std::string TextOf(bool value) { return value ? "true" : "false"; }
std::string TextOf(std::size_t value) { return std::to_string(value); }
std::string TextOf(int value) { return std::to_string(value); }
std::string TextOf(Duration value) { return std::to_string(value.count() / 1000); }

// Uses the shortest text that parses back to the same number, so that rounding hides no change.
std::string TextOf(double value) {
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.begin(), text.end(), value);
  return {text.begin(), end};
}

std::string TextOf(const HealthCheck& health) {
  return health.path + " each " + TextOf(health.interval) + " ms, draining at " +
         TextOf(health.drain_status);
}

template <class Tag>
std::string TextOf(const NamedId<Tag>& value) {
  return value.Value();
}

template <class Value>
std::string TextOf(const std::optional<Value>& value) {
  return value ? TextOf(*value) : "(none)";
}

template <class Value>
std::string TextOf(const std::vector<Value>& values) {
  std::string text;
  for (const Value& value : values) text += (text.empty() ? "" : ", ") + TextOf(value);
  return text.empty() ? "(none)" : text;
}

template <class Entry, auto Member>
std::string MemberText(const Entry& entry) {
  return TextOf(entry.*Member);
}

template <auto Member, class Entry>
constexpr Field<Entry> MemberField(std::string_view name, std::string_view effect) {
  return Field<Entry>{name, MemberText<Entry, Member>, effect};
}

constexpr std::array kRegionFields{MemberField<&Region::data_centres, Region>(
    "data_centres", "servers of a removed data centre must be moved to another one")};

constexpr std::array kPriorityFields{
    MemberField<&Priority::rank, Priority>("rank", "the dispatch order of calls changes"),
    MemberField<&Priority::target, Priority>("target_ms", "the target response time changes"),
    MemberField<&Priority::queue_bound, Priority>(
        "queue_bound_ms", "owners refuse calls of this priority above this expected queueing time"),
    MemberField<&Priority::guaranteed_share, Priority>(
        "guaranteed_share", "owners reserve this share of slot time for the priority"),
    MemberField<&Priority::may_cross_regions, Priority>(
        "may_cross_regions", "decides whether calls of this priority may use the paid link"),
};

constexpr std::array kServiceFields{
    MemberField<&Service::hosts, Service>("hosts",
                                          "the Host headers that select this service change"),
    MemberField<&Service::default_deadline, Service>("default_deadline_ms",
                                                     "calls without a deadline get the new one"),
    MemberField<&Service::max_body_bytes, Service>("max_body_bytes",
                                                   "larger request bodies are refused"),
    MemberField<&Service::shed_status, Service>(
        "shed_status", "answers with this status count as not run and lower the concurrency limit"),
    MemberField<&Service::subset_size, Service>(
        "subset_size", "nodes open or close links to the servers of the service"),
    MemberField<&Service::health, Service>(
        "health", "owners probe their backend servers with these parameters"),
};

constexpr std::array kRuleFields{
    MemberField<&Rule::priority, Rule>("priority", "the priority of matching requests changes"),
    MemberField<&Rule::idempotent, Rule>(
        "idempotent", "if false, matching requests are not retried once they may have run"),
    MemberField<&Rule::deadline, Rule>("deadline_ms", "the deadline of matching requests changes"),
};

constexpr std::array kServerFields{
    MemberField<&BackendServer::service, BackendServer>(
        "service", "the server moves from its old service to the new one"),
    MemberField<&BackendServer::address, BackendServer>(
        "address", "its node connects to the server at the new address"),
    MemberField<&BackendServer::peer_address, BackendServer>(
        "peer_address", "other nodes connect to its node at the new address"),
    MemberField<&BackendServer::region, BackendServer>("region", "routing uses the new location"),
    MemberField<&BackendServer::data_centre, BackendServer>("data_centre",
                                                            "routing uses the new location"),
    MemberField<&BackendServer::slots, BackendServer>("slots",
                                                      "limits the concurrent calls of its node"),
    MemberField<&BackendServer::connections, BackendServer>(
        "connections", "limits the connections that its node opens"),
    MemberField<&BackendServer::peer_public_key, BackendServer>(
        "peer_public_key", "other nodes accept its node only with the new key"),
};

constexpr std::array kBudgetFields{
    MemberField<&Budgets::measuring_bytes_per_second, Budgets>(
        "measuring_bytes_per_second", "limits the control traffic of each node"),
    MemberField<&Budgets::probes_per_second, Budgets>("probes_per_second",
                                                      "limits the probes of each node"),
    MemberField<&Budgets::paid_link_bytes_per_second, Budgets>(
        "paid_link_bytes_per_second", "limits the traffic to other regions"),
    MemberField<&Budgets::retry_share, Budgets>("retry_share", "limits retries"),
    MemberField<&Budgets::hedge_share, Budgets>("hedge_share", "limits hedges"),
};

constexpr EntryKind<Region> kRegionKind{"region", kRegionFields, "servers can be declared in it",
                                        "servers can no longer be declared in it"};
constexpr EntryKind<Priority> kPriorityKind{"priority", kPriorityFields, "rules can refer to it",
                                            "rules can no longer refer to it"};
constexpr EntryKind<Service> kServiceKind{"service", kServiceFields, "calls for it are accepted",
                                          "calls for it are refused with unknown_service"};
constexpr EntryKind<Rule> kRuleKind{
    "rule", kRuleFields, "it classifies matching requests",
    "matching requests use a rule with a shorter prefix or are refused with no_rule"};
constexpr EntryKind<BackendServer> kServerKind{
    "backend server", kServerFields, "it receives calls, with a slow start, once its node responds",
    "it receives no new calls; calls in flight complete"};
constexpr EntryKind<Budgets> kBudgetKind{"budgets", kBudgetFields, "", ""};

template <class Entry>
std::string KeyOf(const Entry& entry) {
  return entry.id.Value();
}

std::string KeyOf(const Rule& rule) {
  std::string methods;
  for (const std::string& method : rule.methods) methods += (methods.empty() ? "" : "|") + method;
  return (methods.empty() ? "any method" : methods) + " " + rule.path_prefix;
}

template <class Entry>
void CompareFields(const EntryKind<Entry>& kind, const std::string& subject, const Entry& before,
                   const Entry& after, std::vector<DeclarationChange>& changes) {
  for (const Field<Entry>& field : kind.fields) {
    const std::string old_text = field.text(before);
    const std::string new_text = field.text(after);
    if (old_text == new_text) continue;
    changes.push_back(DeclarationChange{ChangeKind::kChanged, subject, std::string(field.name),
                                        old_text, new_text, std::string(field.effect)});
  }
}

template <class Entry>
std::string Summary(const EntryKind<Entry>& kind, const Entry& entry) {
  std::string text;
  for (const Field<Entry>& field : kind.fields) {
    text += (text.empty() ? "" : "; ") + std::string(field.name) + " " + field.text(entry);
  }
  return text;
}

// Maps entries by key. Of several entries with the same key the first is used, as in
// Declaration::FindRule.
template <class Entry>
std::map<std::string, const Entry*> ByKey(const std::vector<Entry>& entries) {
  std::map<std::string, const Entry*> found;
  for (const Entry& entry : entries) found.emplace(KeyOf(entry), &entry);
  return found;
}

template <class Entry>
void CompareEntries(const EntryKind<Entry>& kind, std::string_view owner,
                    const std::vector<Entry>& before, const std::vector<Entry>& after,
                    std::vector<DeclarationChange>& changes) {
  const std::map<std::string, const Entry*> old_entries = ByKey(before);
  const std::map<std::string, const Entry*> new_entries = ByKey(after);
  const auto subject = [&](const std::string& key) {
    return std::string(owner) + std::string(kind.noun) + " " + key;
  };
  for (const auto& [key, entry] : old_entries) {
    if (new_entries.contains(key)) continue;
    changes.push_back(DeclarationChange{ChangeKind::kRemoved, subject(key), "",
                                        Summary(kind, *entry), "",
                                        std::string(kind.removed_effect)});
  }
  for (const auto& [key, entry] : new_entries) {
    const auto old_entry = old_entries.find(key);
    if (old_entry != old_entries.end()) {
      CompareFields(kind, subject(key), *old_entry->second, *entry, changes);
      continue;
    }
    changes.push_back(DeclarationChange{ChangeKind::kAdded, subject(key), "", "",
                                        Summary(kind, *entry), std::string(kind.added_effect)});
  }
}

// Lists, for each path prefix, the rules of `service` that `other` has too, in the order of
// `service`.
std::map<std::string, std::string> RuleOrder(const Service& service, const Service& other) {
  const std::map<std::string, const Rule*> other_rules = ByKey(other.rules);
  std::map<std::string, std::string> order;
  for (const Rule& rule : service.rules) {
    if (!other_rules.contains(KeyOf(rule))) continue;
    std::string& text = order[rule.path_prefix];
    text += (text.empty() ? "" : ", ") + KeyOf(rule);
  }
  return order;
}

}  // namespace

std::string_view ChangeKindName(ChangeKind kind) {
  static constexpr std::array<std::string_view, 3> kNames{"added", "removed", "changed"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string Describe(const DeclarationChange& change) {
  if (change.kind == ChangeKind::kChanged) {
    return change.subject + ": " + change.field + " changes from " + change.before + " to " +
           change.after + "; " + change.effect;
  }
  const std::string& values = change.kind == ChangeKind::kAdded ? change.after : change.before;
  return change.subject + ": is " + std::string(ChangeKindName(change.kind)) + " (" + values +
         "); " + change.effect;
}

DeclarationDiff::DeclarationDiff(const Declaration& before, const Declaration& after) {
  CompareEntries(kRegionKind, "", before.regions, after.regions, m_changes);
  CompareEntries(kPriorityKind, "", before.priorities, after.priorities, m_changes);
  CompareServices(before.services, after.services);
  CompareEntries(kServerKind, "", before.backend_servers, after.backend_servers, m_changes);
  CompareFields(kBudgetKind, "budgets", before.budgets, after.budgets, m_changes);
}

void DeclarationDiff::CompareServices(const std::vector<Service>& before,
                                      const std::vector<Service>& after) {
  CompareEntries(kServiceKind, "", before, after, m_changes);
  for (const Service& service : after) {
    const auto old_service =
        std::find_if(before.begin(), before.end(),
                     [&](const Service& candidate) { return candidate.id == service.id; });
    CompareRules(old_service == before.end() ? Service{} : *old_service, service);
  }
}

void DeclarationDiff::CompareRules(const Service& before, const Service& after) {
  const std::string owner = "service " + after.id.Value() + ", ";
  const std::string rules_of = owner + "rules of ";
  CompareEntries(kRuleKind, owner, before.rules, after.rules, m_changes);
  const std::map<std::string, std::string> old_order = RuleOrder(before, after);
  for (const auto& [prefix, order] : RuleOrder(after, before)) {
    const auto found = old_order.find(prefix);
    if (found == old_order.end() || found->second == order) continue;
    m_changes.push_back(DeclarationChange{ChangeKind::kChanged, rules_of + prefix, "order",
                                          found->second, order,
                                          "the first rule that matches a request is used"});
  }
}

}  // namespace damaskhollow
