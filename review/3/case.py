"""Two control hosts are replaced at the same time; later two others lose their disks."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
from controlgroup import CATCH_UP_S, RECOVERY_S, CannotRun, run_case  # noqa: E402

DOWN_S = 1.5


def case(group, trouble):
    group.begin()
    leader = group.leader(10)
    if leader is None:
        raise CannotRun("no leader")
    group.log("core-%d leads" % leader)
    replaced_1, replaced_2, first, second = [number for number in range(1, 6) if number != leader]
    if trouble:
        group.kill(replaced_1)
        group.kill(replaced_2)
        time.sleep(1)
        group.start(6)
        group.start(7)
    time.sleep(4 * CATCH_UP_S)
    group.change(2)
    for number in (first, second):
        group.kill(number)
        group.lose_disk(number)
    time.sleep(DOWN_S)
    for number in (first, second):
        group.start(number)
    return group.keeps_newest(RECOVERY_S)


sys.exit(run_case(case, os.path.dirname(os.path.abspath(__file__))))
