// Requests that reach an instance otherwise than a client sent them: one that lies in the body of
// another, and one without the name of the service it comes from.
#include "fleet.h"

namespace review {

namespace {

// What an instance got with a request that it ran.
struct Arrival {
  std::string id;
  std::string start;
  std::string caller;
  bool has_caller = false;
  std::string body;
  std::string coding;  // Of the body, as its fields say.
};

// Two instances each of the services "portal" and "export". The instances of "portal" keep what
// arrives.
class ArrivalFleet {
 public:
  explicit ArrivalFleet(const std::string& folder) : m_fleet(*new Fleet(folder)) {
    for (std::size_t index = 0; index < 4; ++index) {
      m_fleet.Add(
          index < 2 ? "portal" : "export",
          [this, index](Connection& connection, const Message& request, const Run& run) {
            {
              const std::lock_guard lock(m_lock);
              m_arrivals.push_back(
                  {run.request_id, request.start, run.caller,
                   request.headers.contains("caller-service"), request.body,
                   request.Header("transfer-encoding") + request.Header("content-encoding")});
            }
            return connection.Send(
                Response(200, m_fleet.At(index).App().Fields(run), "ran " + run.target));
          });
    }
  }
  bool Start() {
    const std::vector<std::string> routes{Route("r1", "/look/", "safe", "portal"),
                                          Route("r2", "/put/", "unsafe", "portal")};
    return m_fleet.Start(Configuration(1, routes, {"portal", "export"}), "/look/start");
  }
  Fleet& Machines() { return m_fleet; }
  std::vector<Arrival> Arrivals(const std::string& id) {
    const std::lock_guard lock(m_lock);
    std::vector<Arrival> found;
    for (const Arrival& arrival : m_arrivals) {
      if (arrival.id == id) found.push_back(arrival);
    }
    return found;
  }
  void Kill() {
    for (auto& machine : m_fleet.Machines()) machine->Kill();
  }

 private:
  Fleet& m_fleet;  // Never destroyed, as threads use it until the end.
  std::mutex m_lock;
  std::vector<Arrival> m_arrivals;
};

// Returns the text as gzip (RFC 1952) with one stored block.
std::string Gzip(const std::string& text) {
  std::uint32_t crc = 0xffffffffU;
  for (const char byte : text) {
    crc ^= static_cast<unsigned char>(byte);
    for (int bit = 0; bit < 8; ++bit) crc = crc >> 1U ^ (crc & 1U ? 0xedb88320U : 0U);
  }
  const auto size = static_cast<std::uint32_t>(text.size());
  const auto append = [](std::string& bytes, std::uint32_t value, int count) {
    for (; count > 0; --count, value >>= 8U) bytes += static_cast<char>(value & 0xffU);
  };
  std::string bytes("\x1f\x8b\x08\0\0\0\0\0\0\xff\x01", 11);
  append(bytes, size, 2);
  append(bytes, ~size, 2);
  bytes += text;
  append(bytes, ~crc, 4);
  append(bytes, size, 4);
  return bytes;
}

// Sends a document in chunks, under a coding that HTTP allows before them. Returns how many
// instances ran the request with another body.
std::size_t SendCoded(ArrivalFleet& fleet, Record& record, bool is_coded) {
  const std::string id = fleet.Machines().NextId();
  const std::string document = "two pages of a dataset";
  const std::string sent = is_coded ? Gzip(document) : document;
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", sent.size());
  const std::string coding = is_coded ? "gzip, chunked" : "chunked";
  std::string head = fleet.Machines().Head("POST", "/put/document", id);
  head.insert(head.size() - 2, "Transfer-Encoding: " + coding + "\r\n");
  Connection connection(Connection::Dial(fleet.Machines().At(0).Outbound()));
  connection.Send(head + size + "\r\n" + sent + "\r\n0\r\n\r\n");
  Message answer;
  connection.Receive(answer, Clock::now() + std::chrono::seconds(2), true);
  record.Line("request " + id + ": POST /put/document, Transfer-Encoding: " + coding + ", status " +
              std::to_string(answer.Status()));
  std::size_t changed = 0;
  for (const Arrival& arrival : fleet.Arrivals(id)) {
    const bool is_same = arrival.body == document || arrival.coding.find("gzip") == 0;
    if (!is_same) ++changed;
    record.Line("  an instance ran it with a body of " + std::to_string(arrival.body.size()) +
                " bytes, " + (is_same ? "the document" : "not the document") +
                (arrival.coding.empty() ? ", and no field that names a coding"
                                        : ", and the coding " + arrival.coding));
  }
  return changed;
}

}  // namespace

// A client sends a document as the body of a request. The document holds the text of a request.
int PlaySmuggled(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new ArrivalFleet(folder);
  if (!fleet.Start()) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  std::size_t changed = 0;
  std::size_t smuggled = 0;
  std::size_t unasked_answers = 0;
  for (std::size_t index = 0; index < 4; ++index) {
    Machine& machine = fleet.Machines().At(index);
    const std::string id = fleet.Machines().NextId();
    const std::string inner = "inner-" + id;
    const std::string document = fleet.Machines().Head("DELETE", "/put/all", inner);
    const std::string framing =
        trouble ? "Transfer-Encoding: gzip" : "Content-Length: " + std::to_string(document.size());
    std::string head = fleet.Machines().Head("POST", "/put/document", id);
    head.insert(head.size() - 2, framing + "\r\n");
    Connection connection(Connection::Dial(machine.Outbound()));
    connection.Send(head + document);
    record.Line("one request, " + id + ", sent to " + machine.Ip() + ": POST /put/document, " +
                framing + ", with a body of " + std::to_string(document.size()) +
                " bytes that reads \"DELETE /put/all .. Request-Id: " + inner + " ..\"");
    Message answer;
    for (int count = 0;; ++count) {
      const auto until = Clock::now() + std::chrono::seconds(2);
      if (!connection.Receive(answer, until, true)) break;
      record.Line("  answer " + std::to_string(answer.Status()) + " " + answer.body +
                  ", Request-Id " + answer.Header("request-id"));
      if (count > 0 && answer.Status() == 200) ++unasked_answers;
    }
    for (const Arrival& arrival : fleet.Arrivals(id)) {
      record.Line("  an instance ran " + arrival.id + ": " + arrival.start + " with a body of " +
                  std::to_string(arrival.body.size()) + " bytes");
      if (arrival.body != document) ++changed;
    }
    for (const Arrival& arrival : fleet.Arrivals(inner)) {
      record.Line("  an instance ran " + arrival.id + ": " + arrival.start +
                  ", which no client sent");
      ++smuggled;
    }
  }
  changed += SendCoded(fleet, record, trouble);
  fleet.Kill();
  record.Line(std::to_string(smuggled) + " requests ran that were smuggled inside another, " +
              std::to_string(changed) + " ran with another body, " +
              std::to_string(unasked_answers) + " successes came with no request waiting");
  return smuggled + changed + unasked_answers > 0 ? 1 : 0;
}

// A client sends a header Caller-Service of its own and names it as one of its connection.
int PlayCallerService(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new ArrivalFleet(folder);
  if (!fleet.Start()) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  std::size_t wrong = 0;
  std::size_t runs = 0;
  for (std::size_t index = 0; index < 8; ++index) {
    Machine& machine = fleet.Machines().At(index % 4);
    const std::string id = fleet.Machines().NextId();
    const std::string fields = std::string("Caller-Service: billing\r\nConnection: keep-alive") +
                               (trouble ? ", Caller-Service\r\n" : "\r\n");
    std::string head = fleet.Machines().Head("GET", "/look/x", id);
    head.insert(head.size() - 2, fields);
    Connection connection(Connection::Dial(machine.Outbound()));
    connection.Send(head);
    Message answer;
    connection.Receive(answer, Clock::now() + std::chrono::seconds(5), true);
    for (const Arrival& arrival : fleet.Arrivals(id)) {
      ++runs;
      const bool is_right = arrival.caller == machine.App().Service();
      if (!is_right) ++wrong;
      record.Line(
          id + " sent to " + machine.Ip() + " beside an instance of " + machine.App().Service() +
          ", with " +
          (trouble ? "\"Connection: keep-alive, Caller-Service\"" : "\"Connection: keep-alive\"") +
          ": status " + std::to_string(answer.Status()) + ", ran with " +
          (arrival.has_caller ? "Caller-Service: " + arrival.caller
                              : std::string("no Caller-Service")));
    }
  }
  fleet.Kill();
  record.Line(std::to_string(wrong) + " of " + std::to_string(runs) +
              " runs had a Caller-Service other than the service of the machine");
  if (runs == 0) return 2;
  return wrong > 0 ? 1 : 0;
}

}  // namespace review
