"""A disk that is lost soon after the planned replacement of a controller leaves the group without a majority."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from deployment import BOUNDS, configuration, route
from harness import require, run_case

RECOVERY_S = BOUNDS["recovery_s"]
CATCH_UP_S = BOUNDS["catch_up_s"]
READ_S = 8.0
# Time from the acknowledgement to the loss of the disk.
LOSS_AFTER_S = 1.0


def version(number):
    return configuration(number, [route("kept", "127.198.18.1", 8080, "slotdesk")], ["slotdesk"])


def read_back(deployment, acknowledged):
    """Reads the configuration at all controllers in turn, and returns the reasons why the rule counts as broken."""
    prefix = f'{{"version": {acknowledged},'.encode()
    has_configuration = False
    end = deployment.now() + READ_S
    while deployment.now() < end:
        for it in deployment.controllers:
            status, text, _ = deployment.call(it.address, "GET", "/Config.Read")
            deployment.record(f"operator: read from {it.name}: {status} {text[:16]}")
            has_configuration = has_configuration or (status == 200 and text.startswith(prefix))
        time.sleep(0.5)
    is_changed = deployment.replace_configuration(version(15)) is not None
    deployment.record(f"version 15 is acknowledged: {is_changed}")
    if has_configuration:
        return []
    return [f"CONFIG: version {acknowledged} was acknowledged; from {RECOVERY_S + 1} s after the last event on no "
            f"controller returned a configuration for {READ_S:.0f} s; a change is acknowledged: {is_changed}"]


def play(deployment, has_trouble):
    members, successor = deployment.controllers[:3], deployment.controllers[3]
    removed = members[2]
    deployment.controllers = members
    deployment.start()
    require(deployment.replace_configuration(version(9)), "version 9 is not acknowledged")
    time.sleep(2.0)

    successor.is_first_start = False
    successor.start()
    deployment.controllers = members + [successor]
    time.sleep(CATCH_UP_S + 0.5)
    removed.signal(signal.SIGTERM)
    removed.process.wait()
    deployment.record(f"{removed.name} has ended and stays away")
    deployment.controllers = members[:2] + [successor]

    acknowledging = deployment.replace_configuration(version(12))
    require(acknowledging, "version 12 is not acknowledged")
    time.sleep(LOSS_AFTER_S)
    if has_trouble:
        acknowledging.kill()
        acknowledging.lose_disk()
        time.sleep(0.5)
        acknowledging.start()
    time.sleep(RECOVERY_S + 1.0)

    return read_back(deployment, 12)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, play, controllers=4, balancers=3)
