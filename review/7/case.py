"""A controller is replaced, the old one is killed for good, and then the tolerated disk is lost."""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import BOUNDS, Machine, configuration, http, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_SECONDS = BOUNDS["catch_up_s"]
SUCCESSOR_AT = 8.0
# The successor has had catch_up_s, so that the machine that it replaces doesn't count any more.
REMOVAL_AT = SUCCESSOR_AT + CATCH_UP_SECONDS + 0.5
DISK_LOSS_AT = REMOVAL_AT + 1.0
RESTART_SECONDS = 1.0
MARGIN_SECONDS = 4.0


async def replace(deployment, version, until):
    """The operator: returns the address of the controller that acknowledged the order, or None."""
    text = configuration(version, ("orders",))
    pause = 0.1
    while deployment.now() < until:
        for address in deployment.control_addresses():
            hops = []
            status, _ = await http("POST", address, "/Config.Replace", text, hops=hops)
            deployment.record(f"operator sent version {version} to {address[0]}: status {status} from {hops[-1]}")
            if status == 200:
                return hops[-1]
        await asyncio.sleep(pause)
        pause = min(2 * pause, 1.0)
    return None


async def read_back(deployment, until):
    """Reads the configuration at any controller; returns its version, or None if no read was answered in time."""
    while deployment.now() < until:
        for address in deployment.control_addresses():
            status, text = await http("GET", address, "/Config.Read")
            deployment.record(f"operator read at {address[0]}: status {status}")
            if status == 200:
                return json.loads(text)["version"]
        await asyncio.sleep(0.5)
    return None


async def run(deployment):
    for it in deployment.controllers:
        it.start()
    if not await replace(deployment, 1, until=SUCCESSOR_AT):
        return 2
    await asyncio.sleep(SUCCESSOR_AT - deployment.now())
    successor = Machine(deployment, "controller", 3)
    successor.starts = 1  # `bootstrap` is true at the first start of the deployment only
    successor.start()
    deployment.record(f"{successor.name} at {successor.address} is added with an empty disk")
    await asyncio.sleep(REMOVAL_AT - deployment.now())
    removed = deployment.controllers[2]
    removed.send(signal.SIGKILL)
    removed.process.wait()
    deployment.controllers[2] = successor
    deployment.record(f"{removed.name} at {removed.address} is removed for good")
    await asyncio.sleep(DISK_LOSS_AT - deployment.now())
    address = await replace(deployment, 2, until=DISK_LOSS_AT + 8.0)
    if not address:
        return 2
    machine = next(it for it in deployment.controllers if it.address == address)
    if TROUBLE:
        machine.kill()
        machine.lose_disk()
        deployment.record(f"{machine.name} at {machine.address}, which acknowledged version 2, loses its disk")
        await asyncio.sleep(RESTART_SECONDS)
        machine.start()
        deployment.record(f"{machine.name} starts again with an empty disk")
    version = await read_back(deployment, deployment.now() + BOUNDS["recovery_s"] + MARGIN_SECONDS)
    running = sum(it.is_running() for it in deployment.controllers)
    deployment.record(f"{running} of 3 controllers run; version read back: {version}")
    if version != 2:
        deployment.record("LOST: the acknowledged version 2 can't be read any more")
        return 1
    deployment.record("held: version 2 is read back")
    return 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run, balancers=0))
