#pragma once

#include <grpcpp/impl/service_type.h>
#include <grpcpp/server.h>

#include <memory>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** Starts a gRPC server on an address ("IP:port"; port 0 takes a free one, returned in aPort).
    Returns nothing when the address can't be used. */
std::unique_ptr<grpc::Server> StartServer(const std::string& aListen,
                                          const std::vector<grpc::Service*>& aServices,
                                          int& aPort);

/** Blocks SIGINT and SIGTERM in the calling thread and all threads that it starts later. */
void BlockStopSignals();

/** Waits until the process is asked to stop. Precondition: BlockStopSignals() was called before any
    other thread was started. */
void WaitForStopSignal();

} // namespace mustardshift::standin
