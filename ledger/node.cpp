#include "ledger/node.h"

#include <algorithm>

#include "ledger/nodeloop.h"

namespace banyanledge
{

Node::Node(std::unique_ptr<Private> priv)
    : d(std::move(priv))
{
}

Node::Node(Node &&) noexcept = default;
Node &Node::operator=(Node &&) noexcept = default;
Node::~Node() = default;

std::optional<Node> Node::open(Options options)
{
    auto store = Store::open(options.dataFolder);
    if (!store) {
        return std::nullopt;
    }
    auto state = store->takeState();
    const auto image = store->takeImage();
    if (state.snapshotIndex == 0 && !options.join) {
        state.config = options.initialConfig;
        const auto &members = state.config.members();
        const bool named = std::any_of(members.begin(), members.end(),
                                       [&options](const auto &member) { return member.id() == options.id; });
        if (!named && state.entries.empty()) {
            return fail(proto::ERROR_INVALID,
                        "host " + options.id
                            + " is not among initial_members; add it there for a new group, or set "
                              "join = true to join an existing group");
        }
    }
    return Node(std::make_unique<Private>(std::move(options), std::move(*store), state, image));
}

void Node::deliver(const proto::RaftMessage &message)
{
    d->push(message);
}

void Node::propose(const proto::Command &command, std::function<void(const proto::CommandResult &)> done)
{
    Private::Proposal proposal{command, std::move(done)};
    if (proposal.command.time_ms() == 0) {
        proposal.command.set_time_ms(wallClockMs());
    }
    d->push(std::move(proposal));
}

void Node::readIndex(std::function<void(std::optional<Revision>)> done)
{
    d->push(Private::ReadRequest{std::move(done)});
}

void Node::changeMember(const proto::LogMember &member, MemberChange kind, Revision seenRevision,
                        std::function<void(const proto::CommandResult &)> done)
{
    d->push(Private::MemberRequest{member, kind, seenRevision, std::move(done)});
}

void Node::transferLeadership()
{
    d->push(Private::Handover());
}

proto::TableContent Node::contentSince(Revision since, bool *snapshot) const
{
    const std::shared_lock lock(d->tableMutex);
    return d->table.contentSince(since, snapshot);
}

std::vector<proto::AuditRecord> Node::audit(Revision after, std::size_t limit) const
{
    const std::shared_lock lock(d->tableMutex);
    return d->table.audit(after, limit);
}

std::optional<proto::Claim> Node::claim(const std::string &customer, const std::string &requestId) const
{
    const std::shared_lock lock(d->tableMutex);
    const auto *found = d->table.claim(customer, requestId);
    return found != nullptr ? std::optional(*found) : std::nullopt;
}

Revision Node::contentRevision() const
{
    const std::shared_lock lock(d->tableMutex);
    return d->table.contentRevision();
}

void Node::readTable(const std::function<void(const Table &)> &visit) const
{
    const std::shared_lock lock(d->tableMutex);
    visit(d->table);
}

Revision Node::appliedRevision() const
{
    const std::shared_lock lock(d->tableMutex);
    return d->table.revision();
}

std::uint64_t Node::logBytes() const
{
    return d->logBytes;
}

void Node::onChange(std::function<void()> changed)
{
    const std::lock_guard lock(d->statusMutex);
    d->changeCallbacks.push_back(std::move(changed));
}

proto::ControlStatus Node::status() const
{
    const std::lock_guard lock(d->statusMutex);
    return d->currentStatus;
}

} // namespace banyanledge
