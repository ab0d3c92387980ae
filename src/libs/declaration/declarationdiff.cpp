#include "declaration/declarationdiff.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <span>

namespace damaskhollow {

namespace {

// One compared field: its name in the file, its value as text and what a change of it does.
template <class Entry>
struct Field {
  std::string_view name;
  std::string (*text)(const Entry&);
  std::string_view effect;
};

// How entries of one kind are named and compared.
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

// The shortest text that reads back as the same number, so that no change is rounded away.
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
    "data_centres", "servers of a removed data centre must be declared elsewhere")};

constexpr std::array kPriorityFields{
    MemberField<&Priority::rank, Priority>("rank", "the order of dispatch changes"),
    MemberField<&Priority::target, Priority>("target_ms", "the aimed-at answer time changes"),
    MemberField<&Priority::queue_bound, Priority>(
        "queue_bound_ms", "owners refuse this priority at another expected wait"),
    MemberField<&Priority::guaranteed_share, Priority>(
        "guaranteed_share", "owners keep another part of slot time for this priority"),
    MemberField<&Priority::may_cross_regions, Priority>(
        "may_cross_regions", "calls of this priority may or may not use the paid link"),
};

constexpr std::array kServiceFields{
    MemberField<&Service::hosts, Service>("hosts", "other Host headers lead to this service"),
    MemberField<&Service::default_deadline, Service>("default_deadline_ms",
                                                     "calls without a deadline get this one"),
    MemberField<&Service::max_body_bytes, Service>("max_body_bytes",
                                                   "request bodies above it are refused"),
    MemberField<&Service::shed_status, Service>(
        "shed_status", "answers with this status count as not run and lower the limit"),
    MemberField<&Service::subset_size, Service>("subset_size",
                                                "nodes open or close links to its servers"),
    MemberField<&Service::health, Service>("health", "owners ask their server in another way"),
};

constexpr std::array kRuleFields{
    MemberField<&Rule::priority, Rule>("priority", "matching requests change their priority"),
    MemberField<&Rule::idempotent, Rule>(
        "idempotent", "if false, matching requests are never sent again after they may have run"),
    MemberField<&Rule::deadline, Rule>("deadline_ms", "matching requests get another deadline"),
};

constexpr std::array kServerFields{
    MemberField<&BackendServer::service, BackendServer>("service",
                                                        "the server leaves its old service"),
    MemberField<&BackendServer::address, BackendServer>(
        "address", "its node connects to the server at the new address"),
    MemberField<&BackendServer::peer_address, BackendServer>(
        "peer_address", "other nodes reach its node at the new address"),
    MemberField<&BackendServer::region, BackendServer>("region", "routing sees it elsewhere"),
    MemberField<&BackendServer::data_centre, BackendServer>("data_centre",
                                                            "routing sees it elsewhere"),
    MemberField<&BackendServer::slots, BackendServer>("slots",
                                                      "its node runs at most so many calls"),
    MemberField<&BackendServer::connections, BackendServer>(
        "connections", "its node opens at most so many connections"),
    MemberField<&BackendServer::peer_public_key, BackendServer>(
        "peer_public_key", "other nodes accept its node only with this key"),
};

constexpr std::array kBudgetFields{
    MemberField<&Budgets::measuring_bytes_per_second, Budgets>(
        "measuring_bytes_per_second", "bound of the control traffic of each node"),
    MemberField<&Budgets::probes_per_second, Budgets>("probes_per_second",
                                                      "bound of the probes of each node"),
    MemberField<&Budgets::paid_link_bytes_per_second, Budgets>(
        "paid_link_bytes_per_second", "bound of the traffic to other regions"),
    MemberField<&Budgets::retry_share, Budgets>("retry_share", "bound of retries"),
    MemberField<&Budgets::hedge_share, Budgets>("hedge_share", "bound of hedges"),
};

constexpr EntryKind<Region> kRegionKind{"region", kRegionFields, "servers can be declared in it",
                                        "no server can be declared in it"};
constexpr EntryKind<Priority> kPriorityKind{"priority", kPriorityFields, "rules can name it",
                                            "no rule can name it"};
constexpr EntryKind<Service> kServiceKind{"service", kServiceFields, "calls for it are accepted",
                                          "calls for it are refused with unknown_service"};
constexpr EntryKind<Rule> kRuleKind{"rule", kRuleFields, "matching requests are classified by it",
                                    "matching requests fall to a shorter prefix or to no_rule"};
constexpr EntryKind<BackendServer> kServerKind{"backend server", kServerFields,
                                               "it gets work by slow start once its node answers",
                                               "it gets no new work; calls in flight finish"};
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

// The first of several entries with the same key counts, as it does in Declaration::FindRule.
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

// The rules of each prefix that are in both lists, in their order.
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
                                          "the first that matches a request counts"});
  }
}

}  // namespace damaskhollow
