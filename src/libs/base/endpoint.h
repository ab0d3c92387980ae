#ifndef DAMASKHOLLOW_BASE_ENDPOINT_H_
#define DAMASKHOLLOW_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace damaskhollow {

// An IP address and a TCP port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are rejected, as nodes connect to IP
// addresses only. So are IPv6 scopes: they name an interface of one VM, and may contain characters
// that ZeroMQ does not accept. Fails with kInvalidAddress.
Result<Endpoint> ParseEndpoint(std::string_view text);

// Whether the address can be that of one machine: not unspecified, broadcast or multicast.
bool IsUnicast(const Endpoint& endpoint);

// Formats an endpoint in the form that ParseEndpoint accepts.
std::string ToString(const Endpoint& endpoint);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_ENDPOINT_H_
