#include "calls/attemptmessages.h"

#include <QCryptographicHash>

#include "calls/callheaders.h"

namespace damaskhollow {

namespace {

constexpr qsizetype kDigestBytes = 16;

void AddToHash(QCryptographicHash& hash, std::string_view part) {
  hash.addData(QByteArrayView(part.data(), static_cast<qsizetype>(part.size())));
  hash.addData(QByteArrayView("\0", 1));
}

}  // namespace

std::string RequestDigest(const ServiceId& service, const HttpRequest& request) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  AddToHash(hash, service.Value());
  AddToHash(hash, request.method);
  AddToHash(hash, request.target);
  AddToHash(hash, request.body);
  return hash.result().first(kDigestBytes).toStdString();
}

wire::Envelope MakeCallRequest(const AttemptKey& attempt, const BackendServerId& server,
                               const CallClass& call_class, const std::string& digest,
                               const HttpRequest& request) {
  wire::Envelope message;
  wire::CallRequest& call = *message.mutable_call_request();
  call.set_call_id(attempt.call.value);
  call.set_ingress_incarnation(attempt.ingress.value);
  call.set_server_id(server.Value());
  call.set_owner_incarnation(attempt.expiry.incarnation.value);
  call.set_expires_at_us(attempt.expiry.expires_at_us);
  call.set_service(call_class.service.Value());
  call.set_priority(call_class.priority.Value());
  call.set_idempotent(call_class.idempotent);
  call.set_depth(call_class.depth);
  call.set_request_id(call_class.request_id);
  call.set_digest(digest);
  call.set_method(request.method);
  call.set_target(request.target);
  for (const HttpHeader& header : EndToEndHeaders(request.headers)) {
    wire::Header& field = *call.add_headers();
    field.set_name(header.name);
    field.set_value(header.value);
  }
  call.set_body(request.body);
  return message;
}

wire::Envelope MakeCancel(const AttemptKey& attempt, CancelScope scope) {
  wire::Envelope message;
  message.mutable_cancel()->set_call_id(attempt.call.value);
  message.mutable_cancel()->set_ingress_incarnation(attempt.ingress.value);
  message.mutable_cancel()->set_expires_at_us(attempt.expiry.expires_at_us);
  message.mutable_cancel()->set_unless_running(scope == CancelScope::kUnlessRunning);
  return message;
}

wire::Envelope MakeStatusQuery(const AttemptKey& attempt, std::uint32_t next_sequence) {
  wire::Envelope message;
  wire::StatusQuery& query = *message.mutable_status_query();
  query.set_call_id(attempt.call.value);
  query.set_ingress_incarnation(attempt.ingress.value);
  query.set_owner_incarnation(attempt.expiry.incarnation.value);
  query.set_expires_at_us(attempt.expiry.expires_at_us);
  query.set_next_sequence(next_sequence);
  return message;
}

AttemptStatus AttemptStatusFrom(wire::CallState call_state, const wire::OwnerState& owner,
                                const ExpiryStamp& expiry) {
  if (owner.incarnation() != expiry.incarnation.value) return AttemptStatus::kUnknown;
  switch (call_state) {
    case wire::CALL_STATE_CANCELLED:
    case wire::CALL_STATE_NEVER_SEEN:  // Owners report this only before expiry.
      return AttemptStatus::kNotRun;
    case wire::CALL_STATE_DONE:
      return AttemptStatus::kDone;
    default:
      return AttemptStatus::kPending;
  }
}

}  // namespace damaskhollow
