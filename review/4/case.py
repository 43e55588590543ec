"""One control host freezes while another one is replaced; then two others lose their disks in turn."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
from controlgroup import CATCH_UP_S, RECOVERY_S, CannotRun, run_case  # noqa: E402

FROZEN_S = 5.5
REPLACED_AFTER_S = 1.0  # of the freeze
SUCCESSOR_AFTER_S = 1.0
DOWN_S = 1.5


def case(group, trouble):
    group.begin()
    leader = group.leader(10)
    if leader is None:
        raise CannotRun("no leader")
    group.log("core-%d leads" % leader)
    frozen, replaced, *others = [number for number in range(1, 6) if number != leader]
    start = time.monotonic()
    if trouble:
        group.pause(frozen)
    time.sleep(REPLACED_AFTER_S)
    group.kill(replaced)
    time.sleep(SUCCESSOR_AFTER_S)
    group.start(6)
    time.sleep(max(0, start + FROZEN_S - time.monotonic()))
    if trouble:
        group.pause(frozen, resume=True)
    time.sleep(2 * CATCH_UP_S)
    group.change(2)
    for number in others:
        group.kill(number)
        group.lose_disk(number)
    time.sleep(DOWN_S)
    for number in others:
        group.start(number)
    return group.keeps_newest(RECOVERY_S)


sys.exit(run_case(case, os.path.dirname(os.path.abspath(__file__))))
