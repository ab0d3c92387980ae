#include "base/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace damaskhollow {

namespace {

// Appends instead of concatenating with operator+, for which GCC 12 gives a false -Wrestrict at
// -O3.
std::string Quoted(std::string_view text) {
  std::string quoted = "\"";
  quoted.append(text).append("\"");
  return quoted;
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const auto failure = [&](std::string detail) {
    return Failure{FailureCode::kInvalidAddress, std::string(text), std::move(detail)};
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return failure(Quoted(text).append(" is not of the form IP:PORT"));
  }
  std::string_view address = text.substr(0, colon);
  if (address.starts_with('[') && address.ends_with(']')) {
    address = address.substr(1, address.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [rest, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || rest != port_text.data() + port_text.size()) {
    return failure(Quoted(port_text).append(" is not a port number"));
  }
  boost::system::error_code address_error;
  boost::asio::ip::make_address(address, address_error);
  if (address_error) return failure(Quoted(address).append(" is not an IP address"));
  if (address.find('%') != std::string_view::npos) {
    return failure(Quoted(address).append(" has a scope"));
  }
  return Endpoint{std::string(address), port};
}

bool IsUnicast(const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error || address.is_unspecified() || address.is_multicast()) return false;
  return !address.is_v4() || address.to_v4() != boost::asio::ip::address_v4::broadcast();
}

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  return (is_v6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" +
         std::to_string(endpoint.port);
}

}  // namespace damaskhollow
