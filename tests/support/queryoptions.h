#ifndef DAMASKHOLLOW_TESTS_SUPPORT_QUERYOPTIONS_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_QUERYOPTIONS_H_

#include <map>
#include <string>
#include <string_view>

namespace damaskhollow::test {

// The options of a control request or a test request, as in "/path?ms=50&bytes=10".
class QueryOptions {
 public:
  QueryOptions() = default;

  // Reads the part of a request target after the question mark.
  static QueryOptions FromTarget(std::string_view target);

  // Reads "ms=50&bytes=10".
  static QueryOptions FromQueryString(std::string_view text);

  // Adds the options of `other` that are not given here.
  void AddMissing(const QueryOptions& other);

  bool Has(std::string_view name) const;
  std::string Text(std::string_view name) const;

  // The number, or `missing` if the option is not given or no number.
  double Number(std::string_view name, double default_value) const;

  // Whether the option is a number above zero.
  bool IsOn(std::string_view name) const { return Number(name, 0.0) > 0.0; }

 private:
  std::map<std::string, std::string, std::less<>> m_values;
};

// The part of a request target before the question mark.
std::string_view PathOf(std::string_view target);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_QUERYOPTIONS_H_
