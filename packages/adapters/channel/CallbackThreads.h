#pragma once

namespace mustardshift {

/** Keeps the threads that run gRPC callbacks until the process ends. gRPC 1.51 stops them with the
    last channel or server that uses them, and aborts the process ("assertion failed: prior > 0")
    when that races with the next use or with their own end. MakeChannel() calls this; a process
    that only serves calls it before it starts its server.

    Thread safety: may be called from any thread, any number of times. */
void KeepCallbackThreads();

} // namespace mustardshift
