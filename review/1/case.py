"""Three control hosts lose their disks one after the other while the leader is not a seed."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
from controlgroup import ACK_S, CATCH_UP_S, RECOVERY_S, CannotRun, run_case  # noqa: E402

DOWN_S = 1.5


def case(group, trouble):
    group.begin()
    leader = group.leader(10)
    if leader is None:
        raise CannotRun("no leader")
    group.log("core-%d leads" % leader)
    group.change_seeds([number for number in (5, 4, 3, 2, 1) if number != leader][:3])
    time.sleep(3)
    for number in [number for number in range(1, 6) if number != leader][:3]:
        group.kill(number)
        if trouble:
            group.lose_disk(number)
        time.sleep(DOWN_S)
        group.start(number)
        time.sleep(2 * CATCH_UP_S)
    group.put(2, ACK_S)
    return group.keeps_newest(RECOVERY_S)


sys.exit(run_case(case, os.path.dirname(os.path.abspath(__file__))))
