#include "support/rawclient.h"

namespace damaskhollow::test {

RawClient::RawClient(const Endpoint& endpoint) {
  m_socket.connectToHost(QString::fromStdString(endpoint.address), endpoint.port);
  m_socket.waitForConnected(static_cast<int>(kWaitLimit.count()));
}

void RawClient::Send(std::string_view bytes) {
  m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void RawClient::Flush() {
  WaitUntil([this] { return m_socket.bytesToWrite() == 0 || !IsOpen(); });
}

bool RawClient::FlushNow() {
  m_socket.flush();
  return m_socket.bytesToWrite() == 0;
}

const std::string& RawClient::Received() {
  m_received += m_socket.readAll().toStdString();
  return m_received;
}

bool RawClient::WaitFor(std::string_view text) {
  WaitUntil([&] { return Received().find(text) != std::string::npos || !IsOpen(); });
  return Received().find(text) != std::string::npos;
}

bool RawClient::WaitForClose() {
  return WaitUntil([this] {
    Received();
    return !IsOpen();
  });
}

}  // namespace damaskhollow::test
