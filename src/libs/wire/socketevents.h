#ifndef DAMASKHOLLOW_WIRE_SOCKETEVENTS_H_
#define DAMASKHOLLOW_WIRE_SOCKETEVENTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace damaskhollow {

// What is counted of the calls to ZeroMQ sockets.
enum class SocketEvent {
  kInterrupted,      // A signal interrupted a call, which was repeated.
  kQueueFull,        // A message waited because its peer reads too slowly.
  kPeerGone,         // A message was dropped because its peer is disconnected.
  kReplyDropped,     // A reply was dropped because too many bytes wait for its peer.
  kNoResources,      // No descriptor, socket or memory was left.
  kInvalidArgument,  // ZeroMQ did not accept an address or an option.
  kFailed,           // Any other error.
  kCount,
};

// Returns the name of an event in logs and metrics.
std::string_view SocketEventName(SocketEvent event);

// Counts socket events, so that a series of them leads to one log line instead of many. Used on one
// thread.
class SocketEvents {
 public:
  // Events of one kind since the last call of TakeAll.
  struct Entry {
    SocketEvent event;
    std::uint64_t count;
    int last_error;  // The errno of the last one; 0 if it had none.
  };

  void Count(SocketEvent event, int error);

  // Passes an entry for each kind of event that has occurred since the last call, and starts anew.
  void TakeAll(const std::function<void(const Entry&)>& take);

 private:
  struct Sum {
    std::uint64_t count = 0;
    int last_error = 0;
  };

  std::array<Sum, static_cast<std::size_t>(SocketEvent::kCount)> m_sums{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_SOCKETEVENTS_H_
