"""The same fault without any loss: three successors are added at once, then the old controllers are stopped in turn.

With TROUBLE=0 the old ones are stopped 8 s apart."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from system import CATCH_UP_S, CONNECTIVITY_WINDOW_S, RECOVERY_S, CannotRun, configuration, is_troubled, run_case


def case(system):
    record = system.record
    old = system.start_controllers()
    if system.replace_configuration(configuration(7), old, 8, "version 7") != 200:
        raise CannotRun("the first configuration was not acknowledged")
    new = [system.add("controller", n + 4, it.zone) for n, it in enumerate(old)]
    for it in new:
        it.start(old, bootstrap=False)
        record(f"{it.name} started with an empty disk")
    time.sleep(CATCH_UP_S + 2)
    if system.replace_configuration(configuration(8), old + new, 5, "version 8") != 200:
        raise CannotRun("version 8 was not acknowledged")
    for it in old:
        record(f"SIGTERM to {it.name}, which is removed for good")
        it.stop()
        record(f"{it.name} has ended")
        time.sleep(0.5 if is_troubled() else 8)
    time.sleep(RECOVERY_S + CATCH_UP_S)
    version = system.read_configuration(new, 5 * CONNECTIVITY_WINDOW_S)
    record(f"read back after recovery: version {version or 'none'}")
    return version == 8


run_case(pathlib.Path(__file__).parent, case, "record-planned.txt")
