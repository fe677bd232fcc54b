"""Planned replacement of a controller, then the loss of one disk: can the accepted configuration still be read?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from system import CATCH_UP_S, CONNECTIVITY_WINDOW_S, RECOVERY_S, CannotRun, configuration, is_troubled, run_case


def case(system):
    record = system.record
    controllers = system.start_controllers()
    if system.replace_configuration(configuration(7), controllers, 8, "version 7") != 200:
        raise CannotRun("the first configuration was not acknowledged")

    # Planned work: a new, empty controller at a new address is added; the old one is stopped after the new one has had
    # more than catch_up_s, so it does not count as lost any more.
    leader = system.find_leader(controllers)
    successor = system.add("controller", 4, leader.zone)
    successor.start(controllers, bootstrap=False)
    record(f"{successor.name} started with an empty disk, to take the place of {leader.name}")
    time.sleep(CATCH_UP_S + 2)
    record(f"SIGTERM to {leader.name}, which is removed for good")
    leader.stop()
    record(f"{leader.name} has ended")
    members = [it for it in controllers if it is not leader] + [successor]
    if system.replace_configuration(configuration(8), members, 5, "version 8") != 200:
        raise CannotRun("version 8 was not acknowledged")

    # The disruption: the machine that has just acknowledged loses power and its disk, and is back a second later.
    victim = system.find_leader(members)
    if is_troubled():
        record(f"{victim.name} loses power and its disk")
        victim.kill()
        victim.lose_disk()
        time.sleep(1)
        victim.start([it for it in members], bootstrap=False)
        record(f"{victim.name} is back at its address with an empty disk")

    # All machines but the removed one run undisturbed from here on.
    time.sleep(RECOVERY_S + CATCH_UP_S)
    version = system.read_configuration(members, 5 * CONNECTIVITY_WINDOW_S)
    record(f"read back after recovery: version {version or 'none'}")
    status = system.replace_configuration(configuration(9), members, 5, "version 9")
    record(f"version 9 is {'acknowledged' if status == 200 else 'not acknowledged'}")
    return version == 8


run_case(pathlib.Path(__file__).parent, case)
