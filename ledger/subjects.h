// Subjects of commands: the parts of the replicated state on which commands can contradict each other, and the newest
// decision on each.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Number of subjects whose newest decision is kept.
constexpr std::size_t maxDecidedSubjects = 4096;

// What a command decides on.
struct CommandSubjects
{
    std::vector<std::string> checked; // the command must not follow a decision on one of these that it does not know
    std::vector<std::string> recorded; // the command is a decision on these, also if it changes nothing

    bool operator==(const CommandSubjects &) const = default;
};

CommandSubjects subjectsOf(const proto::Command &command);

// Subject of the changes of one member of the control group.
std::string controlMemberSubject(const std::string &memberId);

// Subject of the release of a claim, by the change id of the command that takes it.
std::string releasedClaimSubject(const std::string &claimChangeId);

// Revision of the newest decision on each subject. Part of the state machine, so that it is equal on all control hosts.
class NewestDecisions
{
public:
    void record(const std::string &subject, Revision revision);

    // Returns the revision of the newest decision on a subject. For a subject that is not kept, this is the newest
    // revision that a dropped decision may have had.
    Revision newest(const std::string &subject) const;

    // Whether the newest decision on a subject is kept.
    bool contains(const std::string &subject) const;

    proto::NewestDecisions image() const;

    // An image of a build that kept no decisions is missing. Any decision up to its revision may then be forgotten.
    void restore(const proto::NewestDecisions *image, Revision revision);

private:
    std::map<std::string, Revision> m_bySubject;
    std::set<std::pair<Revision, std::string>> m_byRevision; // the same, oldest first
    Revision m_floor = 0; // newest revision among the dropped decisions
};

} // namespace banyanledge
