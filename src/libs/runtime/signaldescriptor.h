#ifndef DAMASKHOLLOW_RUNTIME_SIGNALDESCRIPTOR_H_
#define DAMASKHOLLOW_RUNTIME_SIGNALDESCRIPTOR_H_

#include <span>

namespace damaskhollow {

// Lets the calling thread read `signals` from a descriptor (see signalfd(2)) instead of being ended
// by them. Blocks them in this thread and in threads started later. Threads that exist already, for
// instance those of a library that was loaded into the process, pass the signals on to this thread;
// without that, a SIGTERM that the kernel gives to such a thread would end the process at once.
// Returns a non-blocking descriptor, or -1 and errno.
int OpenSignalDescriptor(std::span<const int> signals);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_RUNTIME_SIGNALDESCRIPTOR_H_
