#ifndef DAMASKHOLLOW_DECLARATION_JSONREADER_H_
#define DAMASKHOLLOW_DECLARATION_JSONREADER_H_

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace damaskhollow {

// Strict reader for the fields of a JSON object. Adds a failure with the path of the field to
// `failures`, which must outlive the reader, for each invalid field. Fields that no call requested
// are reported by RejectUnknownFields. The names of fields are ASCII and must outlive the reader,
// as literals do.
class JsonReader {
 public:
  // `file` and `path` are prefixes of the subjects of failures; `path` is empty for the root
  // object. `file` must outlive the reader.
  JsonReader(QJsonObject object, std::string_view file, std::string path,
             std::vector<Failure>& failures);

  // These functions read a required field. If it is missing or invalid, they add a failure and
  // return an empty value, or `low` for numbers.
  std::string String(std::string_view field);
  double Number(std::string_view field, double low, double high);
  std::size_t Integer(std::string_view field, std::size_t low, std::size_t high);
  Duration Milliseconds(std::string_view field, std::size_t low, std::size_t high);
  bool Bool(std::string_view field);
  std::vector<std::string> StringList(std::string_view field);
  QJsonArray Array(std::string_view field);
  // Whether the field exists. Counts as a request for the field.
  bool Has(std::string_view field);
  // Returns a reader for a required field that is an object.
  JsonReader Object(std::string_view field);
  // Returns a reader for the element at `index` of an array field, which must be an object.
  JsonReader Element(std::string_view field, int index, const QJsonValue& value);

  // Adds a failure for each field that no call requested: kWrongUnit if the field differs from a
  // requested one only in its unit suffix, otherwise kUnknownField.
  void RejectUnknownFields();

  // Adds a failure for a field of this object, or for the object itself if `field` is empty.
  void AddFailure(FailureCode code, std::string_view field, std::string detail);

  // Returns the path of a field from the root object, for instance "services[0].hosts".
  std::string PathOf(std::string_view field) const;

 private:
  // Returns the value of a field and records that it was requested. Empty if there is no such
  // field.
  std::optional<QJsonValue> Find(std::string_view field);
  // As Find, but adds a failure if there is no such field.
  std::optional<QJsonValue> FindRequired(std::string_view field);

  QJsonObject m_object;
  std::string_view m_file;
  std::string m_path;
  std::vector<Failure>& m_failures;
  std::vector<std::string_view> m_requested_fields;  // Each once.
  qsizetype m_known_fields = 0;                      // Requested fields that the object has.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_JSONREADER_H_
