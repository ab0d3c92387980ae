#ifndef DAMASKHOLLOW_DECLARATION_JSONREADER_H_
#define DAMASKHOLLOW_DECLARATION_JSONREADER_H_

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace damaskhollow {

// Reads the fields of one JSON object strictly and notes every failure with the field's path.
// Fields that were not asked for are reported by RejectUnknownFields.
class JsonReader {
 public:
  JsonReader(QJsonObject object, std::string file, std::string path,
             std::vector<Failure>& failures);

  // Each reads a required field; on failure it notes the failure and returns an empty value.
  std::string String(std::string_view field);
  double Number(std::string_view field, double low, double high);
  std::size_t Integer(std::string_view field, std::size_t low, std::size_t high);
  Duration Milliseconds(std::string_view field, std::size_t low, std::size_t high);
  bool Bool(std::string_view field);
  std::vector<std::string> StringList(std::string_view field);
  QJsonArray Array(std::string_view field);
  // Whether the field is there. Asking marks it as known.
  bool Has(std::string_view field);
  // A reader for an object field.
  JsonReader Object(std::string_view field);
  // A reader for an element of an array field.
  JsonReader Element(std::string_view field, int index, const QJsonValue& value);

  // Notes a failure for each field that no call asked for. A field that differs from a known one
  // only by its unit is a wrong unit.
  void RejectUnknownFields();

  // Notes a failure at a field of this object, or at the object itself if `field` is empty.
  void AddFailure(FailureCode code, std::string_view field, std::string detail);

  std::string PathOf(std::string_view field) const;

 private:
  std::optional<QJsonValue> FindRequired(std::string_view field);

  QJsonObject m_object;
  std::string m_file;
  std::string m_path;
  std::vector<Failure>& m_failures;
  std::set<std::string> m_requested_fields;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_JSONREADER_H_
