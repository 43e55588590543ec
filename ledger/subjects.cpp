#include "ledger/subjects.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

std::string customerSubject(const std::string &name)
{
    return "customer:" + name;
}

std::string keySubject(const std::string &id)
{
    return "key:" + id;
}

template<typename Row>
std::string rowSubject(const Row &row)
{
    return "row:" + row.service() + "/" + row.region() + "/" + row.customer();
}

// What the platform's list says of a backend server.
std::string serverSubject(const std::string &id)
{
    return "server:" + id;
}

// Whether an operator has drained a backend server.
std::string drainSubject(const std::string &id)
{
    return "drain:" + id;
}

// The present process of a backend server.
std::string processSubject(const std::string &serverId)
{
    return "process:" + serverId;
}

std::string shiftSubject(const std::string &id)
{
    return "shift:" + id;
}

std::string memberSubject(const std::string &id)
{
    return "member:" + id;
}

std::string evacuationSubject(const std::string &availabilityZone)
{
    return "evacuation:" + availabilityZone;
}

std::string blockedSubject(const std::string &fingerprint)
{
    return "blocked:" + fingerprint;
}

template<typename Change>
std::string claimSubject(const Change &change)
{
    return "claim:" + change.customer() + "/" + change.request_id();
}

CommandSubjects decisionOn(const std::vector<std::string> &subjects)
{
    return {subjects, subjects};
}

// The expected version guards all changes of a row that exists. A row that does not exist has version 0, as it had
// before it was created and deleted.
CommandSubjects subjectsOf(const proto::PutRow &change)
{
    CommandSubjects subjects;
    if (change.expected_version() == 0) {
        subjects.checked.push_back(rowSubject(change.row()));
    }
    return subjects;
}

// A start that the list confirms replaces what hosts have reported of the process.
CommandSubjects subjectsOf(const proto::PutServer &change)
{
    const std::string &id = change.server().id();
    CommandSubjects subjects = decisionOn({serverSubject(id)});
    if (change.server().started_ms() != 0) {
        subjects.checked.push_back(processSubject(id));
    }
    return subjects;
}

} // namespace

CommandSubjects subjectsOf(const proto::Command &command)
{
    switch (command.change_case()) {
    case proto::Command::kCreateCustomer:
        return decisionOn({customerSubject(command.create_customer().name())});
    case proto::Command::kCancelCustomer:
        return decisionOn({customerSubject(command.cancel_customer().name())});
    case proto::Command::kReturnCustomer:
        return decisionOn({customerSubject(command.return_customer().name())});
    case proto::Command::kIssueKey:
        return decisionOn({keySubject(command.issue_key().id())});
    case proto::Command::kWithdrawKey:
        return decisionOn({keySubject(command.withdraw_key().id())});
    case proto::Command::kPutRow:
        return subjectsOf(command.put_row());
    case proto::Command::kDeleteRow:
        return {{}, {rowSubject(command.delete_row())}};
    case proto::Command::kPutServer:
        return subjectsOf(command.put_server());
    case proto::Command::kRemoveServer:
        return decisionOn({serverSubject(command.remove_server().id()), drainSubject(command.remove_server().id())});
    case proto::Command::kDrainServer:
        return decisionOn({drainSubject(command.drain_server().id())});
    case proto::Command::kRecordProcessReport:
        return {{}, {processSubject(command.record_process_report().report().id())}};
    case proto::Command::kStartShift:
        return decisionOn({shiftSubject(command.start_shift().shift().id())});
    case proto::Command::kAdvanceShift:
        return decisionOn({shiftSubject(command.advance_shift().id())});
    case proto::Command::kPutMember:
        return decisionOn({memberSubject(command.put_member().member().id())});
    case proto::Command::kRemoveMember:
        return decisionOn({memberSubject(command.remove_member().id())});
    case proto::Command::kSetEvacuation:
        return decisionOn({evacuationSubject(command.set_evacuation().availability_zone())});
    case proto::Command::kBlockRequest:
        return decisionOn({blockedSubject(command.block_request().request().id())});
    case proto::Command::kUnblockRequest:
        return decisionOn({blockedSubject(command.unblock_request().id())});
    // The change id of the command that took the claim guards claims, so that no decision on them is recorded.
    case proto::Command::kClaim:
        return {{claimSubject(command.claim())}, {}};
    case proto::Command::kCompleteClaim:
        return {{claimSubject(command.complete_claim())}, {}};
    case proto::Command::kReleaseClaim:
        return {{claimSubject(command.release_claim())}, {}};
    case proto::Command::kPutDeclaration: // guarded by its version
    case proto::Command::CHANGE_NOT_SET:
        break;
    }
    return {};
}

std::string controlMemberSubject(const std::string &memberId)
{
    return "control:" + memberId;
}

std::string releasedClaimSubject(const std::string &claimChangeId)
{
    return "released:" + claimChangeId;
}

void NewestDecisions::record(const std::string &subject, Revision revision)
{
    const auto [known, added] = m_bySubject.try_emplace(subject, revision);
    if (!added) {
        m_byRevision.erase({known->second, subject});
        known->second = revision;
    }
    m_byRevision.emplace(revision, subject);
    if (m_byRevision.size() > maxDecidedSubjects) {
        const auto oldest = m_byRevision.begin();
        m_floor = oldest->first;
        m_bySubject.erase(oldest->second);
        m_byRevision.erase(oldest);
    }
}

Revision NewestDecisions::newest(const std::string &subject) const
{
    const auto known = m_bySubject.find(subject);
    return known == m_bySubject.end() ? m_floor : known->second;
}

bool NewestDecisions::contains(const std::string &subject) const
{
    return m_bySubject.contains(subject);
}

proto::NewestDecisions NewestDecisions::image() const
{
    proto::NewestDecisions image;
    image.set_floor(m_floor);
    for (const auto &[revision, subject] : m_byRevision) {
        auto *decision = image.add_decisions();
        decision->set_subject(subject);
        decision->set_revision(revision);
    }
    return image;
}

void NewestDecisions::restore(const proto::NewestDecisions *image, Revision revision)
{
    *this = NewestDecisions();
    m_floor = image != nullptr ? image->floor() : revision;
    if (image == nullptr) {
        return;
    }
    for (const auto &decision : image->decisions()) {
        record(decision.subject(), decision.revision());
    }
}

} // namespace banyanledge
