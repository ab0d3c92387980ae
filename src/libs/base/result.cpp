#include "base/result.h"

#include <array>
#include <utility>

namespace damaskhollow {

std::string_view FailureName(FailureCode code) {
  static constexpr std::array<std::pair<FailureCode, std::string_view>, 17> kNames{{
      {FailureCode::kFileUnreadable, "file_unreadable"},
      {FailureCode::kFileNotCreated, "file_not_created"},
      {FailureCode::kSyntax, "syntax"},
      {FailureCode::kUnknownField, "unknown_field"},
      {FailureCode::kMissingField, "missing_field"},
      {FailureCode::kWrongType, "wrong_type"},
      {FailureCode::kWrongUnit, "wrong_unit"},
      {FailureCode::kOutOfRange, "out_of_range"},
      {FailureCode::kDuplicateId, "duplicate_id"},
      {FailureCode::kUnknownReference, "unknown_reference"},
      {FailureCode::kImpossibleShare, "impossible_share"},
      {FailureCode::kOlderVersion, "older_version"},
      {FailureCode::kInvalidSetting, "invalid_setting"},
      {FailureCode::kInvalidAddress, "invalid_address"},
      {FailureCode::kInvalidKey, "invalid_key"},
      {FailureCode::kSocket, "socket"},
      {FailureCode::kUnavailable, "unavailable"},
  }};
  for (const auto& [listed_code, name] : kNames) {
    if (listed_code == code) return name;
  }
  return "unknown_failure";
}

std::string Describe(const Failure& failure) {
  return std::string(FailureName(failure.code)) + ": " + failure.subject + ": " + failure.detail;
}

}  // namespace damaskhollow
