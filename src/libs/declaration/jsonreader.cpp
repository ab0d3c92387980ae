#include "declaration/jsonreader.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace damaskhollow {

namespace {

// Returns the name of a field without its unit suffix: "target" for "target_ms" and "target_s".
std::string WithoutUnit(std::string_view field) {
  static constexpr std::array<std::string_view, 12> kUnits{
      "_ms",         "_s",         "_us", "_seconds",          "_minutes",
      "_bytes",      "_kb",        "_mb", "_bytes_per_second", "_kb_per_second",
      "_per_second", "_per_minute"};
  std::string_view shortest = field;
  for (const std::string_view unit : kUnits) {
    if (!field.ends_with(unit)) continue;
    const std::string_view stem = field.substr(0, field.size() - unit.size());
    if (stem.size() < shortest.size()) shortest = stem;
  }
  return std::string(shortest);
}

}  // namespace

JsonReader::JsonReader(QJsonObject object, std::string_view file, std::string path,
                       std::vector<Failure>& failures)
    : m_object(std::move(object)), m_file(file), m_path(std::move(path)), m_failures(failures) {}

std::optional<QJsonValue> JsonReader::Find(std::string_view field) {
  const bool is_first_request = std::find(m_requested_fields.begin(), m_requested_fields.end(),
                                          field) == m_requested_fields.end();
  if (is_first_request) m_requested_fields.push_back(field);
  const auto found =
      m_object.constFind(QLatin1String(field.data(), static_cast<qsizetype>(field.size())));
  if (found == m_object.constEnd()) return std::nullopt;
  if (is_first_request) ++m_known_fields;
  return *found;
}

std::optional<QJsonValue> JsonReader::FindRequired(std::string_view field) {
  std::optional<QJsonValue> value = Find(field);
  if (!value) AddFailure(FailureCode::kMissingField, field, "is required");
  return value;
}

std::string JsonReader::String(std::string_view field) {
  const std::optional<QJsonValue> value = FindRequired(field);
  if (!value) return {};
  if (!value->isString() || value->toString().isEmpty()) {
    AddFailure(FailureCode::kWrongType, field, "must be a non-empty string");
    return {};
  }
  return value->toString().toStdString();
}

double JsonReader::Number(std::string_view field, double low, double high) {
  const std::optional<QJsonValue> value = FindRequired(field);
  if (!value) return low;
  if (!value->isDouble()) {
    AddFailure(FailureCode::kWrongType, field, "must be a number");
    return low;
  }
  const double number = value->toDouble();
  if (number < low || number > high) {
    AddFailure(FailureCode::kOutOfRange, field,
               "must be between " + QString::number(low).toStdString() + " and " +
                   QString::number(high).toStdString());
    return low;
  }
  return number;
}

std::size_t JsonReader::Integer(std::string_view field, std::size_t low, std::size_t high) {
  const double number = Number(field, static_cast<double>(low), static_cast<double>(high));
  if (number != std::floor(number)) {
    AddFailure(FailureCode::kWrongType, field, "must be an integer");
    return low;
  }
  return static_cast<std::size_t>(number);
}

Duration JsonReader::Milliseconds(std::string_view field, std::size_t low, std::size_t high) {
  return std::chrono::milliseconds(Integer(field, low, high));
}

bool JsonReader::Bool(std::string_view field) {
  const std::optional<QJsonValue> value = FindRequired(field);
  if (!value) return false;
  if (!value->isBool()) AddFailure(FailureCode::kWrongType, field, "must be true or false");
  return value->toBool();
}

std::vector<std::string> JsonReader::StringList(std::string_view field) {
  std::vector<std::string> strings;
  for (const auto& value : Array(field)) {
    if (!value.isString() || value.toString().isEmpty()) {
      AddFailure(FailureCode::kWrongType, field, "must be an array of non-empty strings");
      return {};
    }
    strings.push_back(value.toString().toStdString());
  }
  return strings;
}

QJsonArray JsonReader::Array(std::string_view field) {
  const std::optional<QJsonValue> value = FindRequired(field);
  if (!value) return {};
  if (!value->isArray()) AddFailure(FailureCode::kWrongType, field, "must be an array");
  return value->toArray();
}

bool JsonReader::Has(std::string_view field) { return Find(field).has_value(); }

JsonReader JsonReader::Object(std::string_view field) {
  const std::optional<QJsonValue> value = FindRequired(field);
  if (value && !value->isObject()) AddFailure(FailureCode::kWrongType, field, "must be an object");
  return JsonReader(value ? value->toObject() : QJsonObject(), m_file, PathOf(field), m_failures);
}

JsonReader JsonReader::Element(std::string_view field, int index, const QJsonValue& value) {
  const std::string path = PathOf(field) + "[" + std::to_string(index) + "]";
  if (!value.isObject()) AddFailure(FailureCode::kWrongType, field, "must be an array of objects");
  return JsonReader(value.toObject(), m_file, path, m_failures);
}

void JsonReader::RejectUnknownFields() {
  if (m_known_fields == m_object.size()) return;
  for (auto field = m_object.constBegin(); field != m_object.constEnd(); ++field) {
    const std::string name = field.key().toStdString();
    if (std::find(m_requested_fields.begin(), m_requested_fields.end(), name) !=
        m_requested_fields.end()) {
      continue;
    }
    const std::string stem = WithoutUnit(name);
    bool wrong_unit = false;
    for (const std::string_view requested : m_requested_fields) {
      if (WithoutUnit(requested) != stem || requested == stem) continue;
      AddFailure(FailureCode::kWrongUnit, name,
                 "has the wrong unit; the field is \"" + std::string(requested) + "\"");
      wrong_unit = true;
      break;
    }
    if (!wrong_unit) AddFailure(FailureCode::kUnknownField, name, "is not a known field");
  }
}

void JsonReader::AddFailure(FailureCode code, std::string_view field, std::string detail) {
  m_failures.push_back(
      Failure{code, std::string(m_file) + ": " + PathOf(field), std::move(detail)});
}

std::string JsonReader::PathOf(std::string_view field) const {
  if (field.empty()) return m_path;
  return m_path.empty() ? std::string(field) : m_path + "." + std::string(field);
}

}  // namespace damaskhollow
