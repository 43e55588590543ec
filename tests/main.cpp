// Main function of all test programs. A broken invariant aborts the program.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <grpcpp/grpcpp.h>

#include "banyanledge.grpc.pb.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/types.h"

namespace
{

using namespace banyanledge;

// A call that fails at once, on a channel that lives until the end of the program. gRPC 1.51 ends the threads of its
// callbacks with the last channel or server that uses them, and can abort then (assertion in ref_counted.h).
struct LastingChannel
{
    std::shared_ptr<grpc::Channel> channel = grpc::CreateChannel("127.0.0.1:1", grpc::InsecureChannelCredentials());
    grpc::ClientContext context;
    proto::StatusRequest request;
    proto::ControlStatus reply;

    void useCallbacks()
    {
        context.set_deadline(std::chrono::system_clock::now());
        proto::Control::NewStub(channel)->async()->Status(&context, &request, &reply, [](const grpc::Status &) {});
    }
};

} // namespace

int main(int argc, char **argv)
{
    startLog("error", "test");
    setInvariantsFatal(true);
    auto *channel = new LastingChannel; // never deleted
    channel->useCallbacks();
    return Catch::Session().run(argc, argv);
}
