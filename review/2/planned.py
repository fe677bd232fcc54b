"""The same fault by planned work alone: three successors are added at once, then the old controllers are stopped in turn.

With TROUBLE=0 the old ones are stopped 8 s apart."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from case import CATCH_UP_S, RECOVERY_S, read_back, version
from harness import require, run_case

PAUSE_S = 0.5
LONG_PAUSE_S = 8.0


def play(deployment, has_trouble):
    old, successors = deployment.controllers[:3], deployment.controllers[3:]
    deployment.controllers = old
    deployment.start()
    require(deployment.replace_configuration(version(9)), "version 9 is not acknowledged")
    time.sleep(2.0)
    for it in successors:
        it.is_first_start = False
        it.start()
    deployment.controllers = old + successors
    time.sleep(CATCH_UP_S + 2.0)
    require(deployment.replace_configuration(version(12)), "version 12 is not acknowledged")
    for it in old:
        it.signal(signal.SIGTERM)
        it.process.wait()
        deployment.record(f"{it.name} has ended and stays away")
        time.sleep(PAUSE_S if has_trouble else LONG_PAUSE_S)
    deployment.controllers = successors
    time.sleep(RECOVERY_S + 1.0)
    return read_back(deployment, 12)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, play, "record-planned.txt", controllers=6, balancers=3)
