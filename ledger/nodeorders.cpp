// Functions of Node::Private that append orders: proposed commands and changes of members.
#include "base/log.h"
#include "base/metrics.h"
#include "ledger/nodeloop.h"
#include "ledger/results.h"

namespace banyanledge
{

namespace
{

void recordRefusal(const std::string &changeId, const std::string &subject, Revision seenRevision, const Table &table)
{
    logInfo("order refused, because a newer decision on its subject is in force",
            {{"change", changeId},
             {"subject", subject},
             {"seen_revision", std::to_string(seenRevision)},
             {"newest_decision", std::to_string(table.newestDecision(subject))}});
    countMetric("banyanledge_old_orders_refused_total");
}

} // namespace

// A new leader knows the decisions of earlier ones once it has applied an entry of its own term.
template<typename Order>
OrderGuard::Verdict Node::Private::judge(const Order &order) const
{
    if (raft.role() != Raft::Role::Leader) {
        return OrderGuard::Verdict::Append; // Raft refuses it
    }
    return orderGuard.judge(order, table, appliedTerm == raft.term());
}

void Node::Private::handleOrder(Proposal &proposal)
{
    const proto::Command &command = proposal.command;
    const CommandSubjects subjects = subjectsOf(command);
    switch (judge(command)) {
    case OrderGuard::Verdict::Wait:
        waitingOrders.emplace_back(std::move(proposal));
        return;
    case OrderGuard::Verdict::Refuse:
        recordRefusal(command.change_id(), subjects.checked.front(), command.seen_revision(), table);
        proposal.done(errorResult(proto::ERROR_CONFLICT,
                                  "a newer change of the same object was decided meanwhile, so this one is not in "
                                  "force; read the object again and send the change again if it is still wanted"));
        return;
    case OrderGuard::Verdict::Append:
        break;
    }
    const auto index = raft.propose(command);
    if (!index) {
        proposal.done(errorResult(lastError().kind, lastError().message));
        return;
    }
    orderGuard.recordAppended(subjects, *index);
    pending[*index] = {raft.term(), std::move(proposal.done), std::nullopt};
}

void Node::Private::handleOrder(MemberRequest &change)
{
    const std::string subject = controlMemberSubject(change.member.id());
    switch (judge(RevisionedOrder{{}, {subject}, change.seenRevision})) {
    case OrderGuard::Verdict::Wait:
        waitingOrders.emplace_back(std::move(change));
        return;
    case OrderGuard::Verdict::Refuse:
        recordRefusal({}, subject, change.seenRevision, table);
        // A change of a member has no change id, so that the newer one may be an earlier copy of this one.
        change.done(errorResult(proto::ERROR_CONFLICT,
                                "the member was changed meanwhile, perhaps by an earlier copy of this change; list the "
                                "members and send the change again if it is still wanted"));
        return;
    case OrderGuard::Verdict::Append:
        break;
    }
    auto index = raft.changeMember(change.member, change.kind);
    std::optional<proto::CommandResult> unchanged;
    const bool isUnchanged =
        !index && (lastError().kind == proto::ERROR_EXISTS || lastError().kind == proto::ERROR_NOT_FOUND);
    if (isUnchanged) {
        // The answer is a decision too: once the caller has it, an older order must not change the member.
        unchanged = errorResult(lastError().kind, lastError().message);
        index = raft.confirmMember(change.member.id());
    }
    if (!index) {
        change.done(errorResult(lastError().kind, lastError().message));
        return;
    }
    orderGuard.recordAppended({{subject}, {}}, *index);
    pending[*index] = {raft.term(), std::move(change.done), std::move(unchanged)};
}

bool Node::Private::handleWaitingOrders()
{
    const auto lastIndex = raft.log().lastIndex();
    for (auto &order : std::exchange(waitingOrders, {})) {
        std::visit([this](auto &waiting) { handleOrder(waiting); }, order);
    }
    return raft.log().lastIndex() != lastIndex;
}

void Node::Private::failWaitingOrders(const proto::CommandResult &result)
{
    for (auto &order : std::exchange(waitingOrders, {})) {
        std::visit([&result](auto &waiting) { waiting.done(result); }, order);
    }
}

} // namespace banyanledge
