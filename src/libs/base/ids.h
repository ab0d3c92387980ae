#ifndef DAMASKHOLLOW_BASE_IDS_H_
#define DAMASKHOLLOW_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace damaskhollow {

// A string identifier from the declaration. `Tag` makes identifiers of different kinds distinct
// types, so that the compiler rejects mixing them.
template <class Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string value) : m_value(std::move(value)) {}

  // The identifier as written in the declaration.
  const std::string& Value() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  auto operator<=>(const NamedId&) const = default;

 private:
  std::string m_value;
};

// A number that identifies an object within one process. `Tag` makes identifiers of different kinds
// distinct types.
template <class Tag>
struct NumberedId {
  std::uint64_t value = 0;

  auto operator<=>(const NumberedId&) const = default;
};

using RegionId = NamedId<struct RegionTag>;
using DataCentreId = NamedId<struct DataCentreTag>;
using ServiceId = NamedId<struct ServiceTag>;
using RouteId = NamedId<struct RouteTag>;
using PriorityId = NamedId<struct PriorityTag>;
// Identifies a backend server and, as each backend server has exactly one node, also that node.
using BackendServerId = NamedId<struct BackendServerTag>;

// Identifies a call within the incarnation of the ingress that accepted it.
using CallId = NumberedId<struct CallTag>;
using ConnectionId = NumberedId<struct ConnectionTag>;

// A random number generated when a process starts. Distinguishes a restarted process from its
// previous incarnation.
using Incarnation = NumberedId<struct IncarnationTag>;

}  // namespace damaskhollow

template <class Tag>
struct std::hash<damaskhollow::NamedId<Tag>> {
  std::size_t operator()(const damaskhollow::NamedId<Tag>& id) const {
    return std::hash<std::string>{}(id.Value());
  }
};

template <class Tag>
struct std::hash<damaskhollow::NumberedId<Tag>> {
  std::size_t operator()(const damaskhollow::NumberedId<Tag>& id) const {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // DAMASKHOLLOW_BASE_IDS_H_
