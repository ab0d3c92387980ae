#ifndef DAMASKHOLLOW_BASE_RESULT_H_
#define DAMASKHOLLOW_BASE_RESULT_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace damaskhollow {

// Kinds of failure of files, settings and library calls. Refusals of calls use Reason instead.
enum class FailureCode {
  kFileUnreadable,
  kFileNotCreated,
  kSyntax,
  kUnknownField,
  kMissingField,
  kWrongType,
  kWrongUnit,
  kOutOfRange,
  kDuplicateId,
  kUnknownReference,
  kImpossibleShare,
  kOlderVersion,
  kInvalidSetting,
  kInvalidAddress,
  kInvalidKey,
  kSocket,
  kUnavailable,
};

// The machine-readable name of a failure code, for instance "unknown_field".
std::string_view FailureName(FailureCode code);

// A typed failure. `subject` names what failed: a file, a field path, a flag or an address.
// `detail` is a sentence for a person.
struct Failure {
  FailureCode code;
  std::string subject;
  std::string detail;
};

// One line for logs and terminals: "unknown_field: services[0].slotz: not a field of a service".
std::string Describe(const Failure& failure);

template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Failure>;

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_RESULT_H_
