#include "support/fulllistener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace damaskhollow::test {

namespace {

constexpr int kFillingConnections = 8;

}  // namespace

FullListener::FullListener() {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  m_descriptors.push_back(listener);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool is_listening = ::bind(listener, generic, size) == 0 && ::listen(listener, 0) == 0;
  if (!is_listening) throw std::runtime_error("cannot listen on a loopback port");
  ::getsockname(listener, generic, &size);
  m_address = Endpoint{"127.0.0.1", ntohs(address.sin_port)};
  for (int count = 0; count < kFillingConnections; ++count) {
    const int filling = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    // Does not wait: the first ones succeed later, the others hang.
    static_cast<void>(::connect(filling, generic, size));
    m_descriptors.push_back(filling);
  }
}

FullListener::~FullListener() {
  for (const int descriptor : m_descriptors) ::close(descriptor);
}

}  // namespace damaskhollow::test
