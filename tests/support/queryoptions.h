#ifndef DAMASKHOLLOW_TESTS_SUPPORT_QUERYOPTIONS_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_QUERYOPTIONS_H_

#include <map>
#include <string>
#include <string_view>

namespace damaskhollow::test {

// The options of a control request or a test request, for instance "/path?ms=50&bytes=10".
class QueryOptions {
 public:
  QueryOptions() = default;

  // Parses the part of a request target after the question mark.
  static QueryOptions FromTarget(std::string_view target);

  // Parses a query string such as "ms=50&bytes=10".
  static QueryOptions FromQueryString(std::string_view text);

  // Adds the options of `other` that are not set here.
  void AddMissing(const QueryOptions& other);

  bool Has(std::string_view name) const;
  std::string Text(std::string_view name) const;

  // Returns the option's value, or `default_value` if it is not set or not a number.
  double Number(std::string_view name, double default_value) const;

  // Returns whether the option is a number greater than zero.
  bool IsOn(std::string_view name) const { return Number(name, 0.0) > 0.0; }

 private:
  std::map<std::string, std::string, std::less<>> m_values;
};

// Returns the part of a request target before the question mark.
std::string_view PathOf(std::string_view target);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_QUERYOPTIONS_H_
