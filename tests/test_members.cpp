// Membership of the control group with real control hosts: lost disks, replaced and returning hosts, planned ends.
// The rules are in section 4.1 of docs/design.md.
#include "control_group.h"

using namespace banyanledge;

// Guards against a host with an empty disk that drops its answers to a leader that is none of its seeds, whose address
// it does not know: it would never become a voter again.
TEST_CASE("a host that lost its disk joins again under a leader that is not one of its seeds")
{
    ControlGroup group(5);
    const int leader = group.waitLeader();
    const auto others = group.others(leader);
    const int lost = others.back();
    group.kill(lost);
    group.loseDisk(lost);
    group.start(lost, {others[0], others[1], others[2]});
    CHECK(eventually([&] { return group.status(lost).role() == "follower"; }));
}
