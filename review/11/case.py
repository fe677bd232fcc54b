"""CONFIG: three controllers get successors, and are switched off one a second without SIGTERM; the three successors run on
and never agree again, so that the acknowledged configuration can be neither read nor changed."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-3"))
from deployment import Daemon, Deployment, configuration, http, run_case  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("r-1", "127.198.18.1", 8080, "unsafe", "booking")
CATCH_UP_SECONDS = 4.0
REMOVAL_GAP_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
# End of the day: the operator reads for connectivity_window_ms at least.
READ_SECONDS = 8.0


async def case(d):
    d.add_daemons(["za", "zb", "zc"], ["za"])
    d.start_daemons()
    old = list(d.controllers)
    status, _ = await d.order("POST", "/Config.Replace", configuration(3, [ROUTE], ["booking"]))
    if status != 200:
        return 2
    await asyncio.sleep(CATCH_UP_SECONDS)

    for n, zone in enumerate(d.zones):
        # A successor: the same roles, a new address, an empty disk, and `bootstrap` false.
        successor = Daemon(d, "controller", f"core-{n + 4}", zone, f"{d.block}.{20 + n}")
        successor.starts = 1
        successor.start()
        d.controllers.append(successor)
        d.note(f"successor {successor.name} starts at {successor.address}")
        # The next one starts when this one doesn't count as lost any more.
        await asyncio.sleep(CATCH_UP_SECONDS + 0.5)
    status, _ = await d.order("POST", "/Config.Replace", configuration(5, [ROUTE], ["booking"]))
    if status != 200:
        return 2
    acknowledged = 5
    await asyncio.sleep(CATCH_UP_SECONDS)

    if TROUBLE:
        for it in old:
            it.kill()
            d.controllers.remove(it)
            d.seeds = [one.address for one in d.controllers][:3]
            d.note(f"{it.name} is removed for good")
            await asyncio.sleep(REMOVAL_GAP_SECONDS)
    await asyncio.sleep(RECOVERY_SECONDS)

    read = None
    end = d.now() + READ_SECONDS
    while d.now() < end and read is None:
        for it in d.shuffled_controls():
            status, text = await http("GET", it, "/Config.Read")
            d.note(f"operator GET /Config.Read to {it[0]}: {status}")
            if status == 200:
                read = json.loads(text)["version"]
                break
        await asyncio.sleep(0.25)
    status, _ = await d.order("POST", "/Config.Replace", configuration(7, [ROUTE], ["booking"]), seconds=10.0)
    running = [it.name for it in d.controllers if it.is_running()]
    d.conclude(f"controllers that run: {', '.join(running)}; acknowledged: version {acknowledged}; read back: {read}; "
               f"a new version: {status}")
    return 0 if read is not None and read >= acknowledged else 1


run_case(case, HERE, Deployment)
