#include "control/service.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <grpcpp/grpcpp.h>

#include "banyanledge.grpc.pb.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Number of audit records returned to a reader that sets no limit.
constexpr std::uint32_t defaultAuditLimit = 1000;

MemberChange kindOf(const proto::ChangeMembersRequest &request)
{
    if (!request.remove()) {
        return MemberChange::Add;
    }
    return request.leaving() ? MemberChange::Leave : MemberChange::Remove;
}

class RaftService final : public proto::Raft::CallbackService
{
public:
    RaftService(Node &node, RaftPeers &peers)
        : m_node(node)
        , m_peers(peers)
    {
    }

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context, const proto::RaftBatch *batch,
                                      proto::Empty *) override
    {
        for (const auto &message : batch->messages()) {
            if (!message.from_address().empty()) {
                m_peers.learnAddress(message.from(), message.from_address());
            }
            m_node.deliver(message);
        }
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    Node &m_node;
    RaftPeers &m_peers;
};

class ControlService final : public proto::Control::CallbackService
{
public:
    ControlService(asio::io_context &loop, Node &node, SyncHandler &sync, TokenRelay &tokenRelay)
        : m_loop(loop)
        , m_node(node)
        , m_sync(sync)
        , m_tokenRelay(tokenRelay)
    {
    }

    grpc::ServerUnaryReactor *Sync(grpc::CallbackServerContext *context, const proto::SyncRequest *request,
                                   proto::SyncReply *reply) override
    {
        // Not compressed by gRPC, because the large parts of a reply are compressed once for all hosts.
        auto *reactor = context->DefaultReactor();
        asio::post(m_loop, [this, reactor, request, reply] {
            m_sync.handle(*request, [reactor, reply](const proto::SyncReply &answer) {
                *reply = answer;
                reactor->Finish(grpc::Status::OK);
            });
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Propose(grpc::CallbackServerContext *context, const proto::Command *request,
                                      proto::ProposeReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        if (request->change_id().empty()) {
            reply->mutable_result()->set_kind(proto::ERROR_INVALID);
            reply->mutable_result()->set_message("the command has no change id; set a unique one");
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }
        proto::Command command = *request;
        command.set_time_ms(wallClockMs());
        m_node.propose(command, [this, reactor, reply](const proto::CommandResult &result) {
            finishChange(reactor, reply, result);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *ChangeMembers(grpc::CallbackServerContext *context,
                                            const proto::ChangeMembersRequest *request,
                                            proto::ProposeReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_node.changeMember(
            request->member(), kindOf(*request), request->seen_revision(),
            [this, reactor, reply](const proto::CommandResult &result) { finishChange(reactor, reply, result); });
        return reactor;
    }

    grpc::ServerUnaryReactor *Read(grpc::CallbackServerContext *context, const proto::ReadRequest *request,
                                   proto::ReadReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_node.readIndex([this, reactor, request, reply](std::optional<Revision> revision) {
            if (revision && request->revision_only()) {
                reply->mutable_content()->set_revision(*revision);
                reactor->Finish(grpc::Status::OK);
                return;
            }
            // Copying the whole table would block the node's thread for too long.
            asio::post(m_workers, [this, reactor, request, reply, isLeader = revision.has_value()] {
                fillRead(*request, reply, isLeader);
                finishOnLoop(reactor, reply);
            });
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *TakeTokens(grpc::CallbackServerContext *context, const proto::TakeTokensRequest *request,
                                         proto::TakeTokensReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        asio::post(m_loop, [this, reactor, request, reply] {
            const auto finish = [reactor, reply](const proto::TakeTokensReply &answer) {
                *reply = answer;
                reactor->Finish(grpc::Status::OK);
            };
            if (m_sync.leading() || request->relayed()) {
                finish(m_sync.takeTokens(*request));
            } else {
                m_tokenRelay.take(*request, finish, Clock::now());
            }
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Status(grpc::CallbackServerContext *context, const proto::StatusRequest *,
                                     proto::ControlStatus *reply) override
    {
        auto *reactor = context->DefaultReactor();
        asio::post(m_loop, [this, reactor, reply] {
            const Time now = Clock::now();
            m_sync.refresh(now);
            *reply = m_sync.status();
            for (const auto &[id, callState] : m_sync.liveness().hosts) {
                auto *host = reply->add_hosts();
                host->set_id(id);
                host->set_revision(callState.knownRevision);
                const auto sinceAnswered =
                    callState.lastAnsweredArrival == Time{} ? Duration{} : now - callState.lastAnsweredArrival;
                host->set_heard_ms(std::chrono::duration_cast<milliseconds>(sinceAnswered).count());
            }
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    void stop()
    {
        m_workers.join();
    }

private:
    // Reads the leader's address on the event loop, because the node's thread may hold locks here.
    template<typename Reply>
    void finishOnLoop(grpc::ServerUnaryReactor *reactor, Reply *reply)
    {
        asio::post(m_loop, [this, reactor, reply] {
            m_sync.refresh(Clock::now());
            reply->set_leader_address(m_sync.status().leader_address());
            reactor->Finish(grpc::Status::OK);
        });
    }

    void finishChange(grpc::ServerUnaryReactor *reactor, proto::ProposeReply *reply, const proto::CommandResult &result)
    {
        *reply->mutable_result() = result;
        countMetric("banyanledge_changes_total", {{"result", kindName(result.kind())}});
        finishOnLoop(reactor, reply);
    }

    void fillRead(const proto::ReadRequest &request, proto::ReadReply *reply, bool isLeader)
    {
        if (!isLeader) {
            reply->set_kind(proto::ERROR_UNAVAILABLE);
            reply->set_message("no quorum confirmed that this control host is the leader; call leader_address");
            return;
        }
        if (request.audit()) {
            const std::uint32_t limit = request.audit_limit() == 0 ? defaultAuditLimit : request.audit_limit();
            for (auto &record : m_node.audit(request.audit_after(), limit)) {
                *reply->add_audit() = std::move(record);
            }
            return;
        }
        if (request.declaration()) {
            m_node.readTable([reply](const Table &table) {
                *reply->mutable_content()->mutable_declaration() = table.declaration();
            });
            return;
        }
        bool snapshot = false;
        *reply->mutable_content() = m_node.contentSince(0, &snapshot);
    }

    asio::io_context &m_loop;
    Node &m_node;
    SyncHandler &m_sync;
    TokenRelay &m_tokenRelay;
    asio::thread_pool m_workers{1};
};

} // namespace

class ControlServices::Private
{
public:
    Private(asio::io_context &loop, Node &node, RaftPeers &peers, SyncHandler &sync, TokenRelay &tokenRelay)
        : raft(node, peers)
        , control(loop, node, sync, tokenRelay)
    {
    }

    RaftService raft;
    ControlService control;
};

ControlServices::ControlServices(asio::io_context &loop, Node &node, RaftPeers &peers, SyncHandler &sync,
                                 TokenRelay &tokenRelay)
    : d(std::make_unique<Private>(loop, node, peers, sync, tokenRelay))
{
}

ControlServices::~ControlServices() = default;

std::vector<grpc::Service *> ControlServices::services()
{
    return {&d->raft, &d->control};
}

void ControlServices::stop()
{
    d->control.stop();
}

} // namespace banyanledge
