#ifndef DAMASKHOLLOW_BASE_RESULT_H_
#define DAMASKHOLLOW_BASE_RESULT_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace damaskhollow {

// Error codes for files, settings and library calls. Refused calls are described by Reason instead.
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

// Returns the machine-readable name of a failure code, for instance "unknown_field".
std::string_view FailureName(FailureCode code);

// A typed error. `subject` is the file, field path, flag or address that it concerns. `detail` is a
// human-readable description.
struct Failure {
  FailureCode code;
  std::string subject;
  std::string detail;
};

// Formats a failure as one line for logs and terminals, for instance
// "unknown_field: services[0].slotz: is not a known field".
std::string Describe(const Failure& failure);

// Either a value or a Failure. Accessing the value of a failed result is undefined behaviour.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Failure>;

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_RESULT_H_
