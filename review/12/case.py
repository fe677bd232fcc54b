"""LOST: one controller is cut off from the others for 5.5 s. Meanwhile the others are replaced, the new ones first. It never
joins the group again, though all run and its settings then name the new machines. The loss of one disk, which the site
allows, ends the group and loses the acknowledged configuration."""

import asyncio
import os
import pathlib
import shutil
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-3"))
from deployment import Gateway, configuration, http, run_case  # noqa: E402
from turnover import CATCH_UP_SECONDS, ZonedDeployment, replace_core  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("r-1", "127.198.18.1", 8080, "unsafe", "booking")
CUT_SECONDS = 5.5
REMOVAL_GAP_SECONDS = 0.2
RECOVERY_SECONDS = 12.0
# End of the day: the operator reads for connectivity_window_ms at least.
READ_SECONDS = 8.0


async def read_back(d, seconds):
    end = d.now() + seconds
    while d.now() < end:
        for it in d.shuffled_controls():
            status, text = await http("GET", it, "/Config.Read")
            d.note(f"operator GET /Config.Read to {it[0]}: {status} {text[:14]}")
            if status == 200:
                return text
        await asyncio.sleep(0.25)
    return None


async def case(d):
    d.gateway = Gateway((f"{d.block}.253", d.ports["peer"]))
    await d.gateway.start()
    d.add_daemons(["za", "zb", "zc"], ["za"])
    d.start_daemons()
    status, _ = await d.order("POST", "/Config.Replace", configuration(3, [ROUTE], ["booking"]))
    if status != 200:
        return 2
    await asyncio.sleep(CATCH_UP_SECONDS)

    first = d.controllers[0]
    cut_at = d.now()
    if TROUBLE:
        others = [it.address for it in d.controllers[1:]] + [f"{d.block}.{20 + n}" for n in range(2)]
        d.gateway.cuts = {(first.address, it) for it in others}
        d.note(f"{first.name} is cut off from the other controllers")
    await replace_core(d, d.controllers[1:], REMOVAL_GAP_SECONDS)
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - d.now()))
    d.gateway.cuts = set()
    d.note(f"the cut is over after {d.now() - cut_at:.1f} s")

    # seed_turnover: the settings name other seeds, with SIGHUP.
    d.seeds = [it.address for it in d.controllers]
    for it in d.controllers + d.balancers:
        it.write_settings()
        it.send(signal.SIGHUP)
    d.note(f"all settings name the seeds {', '.join(d.seeds)}")
    await asyncio.sleep(RECOVERY_SECONDS)
    status, _ = await d.order("POST", "/Config.Replace", configuration(5, [ROUTE], ["booking"]))
    if status != 200:
        return 2
    running = [it.name for it in d.controllers if it.is_running()]
    d.note(f"version 5 is acknowledged; controllers that run: {', '.join(running)}")

    # Final fault: one machine loses its disk, and is back with an empty one.
    last = d.controllers[-1]
    last.kill()
    shutil.rmtree(last.data)
    await asyncio.sleep(0.5)
    last.start()
    d.note(f"{last.name} has lost its disk and is back")
    await asyncio.sleep(RECOVERY_SECONDS)
    text = await read_back(d, READ_SECONDS)
    running = [it.name for it in d.controllers if it.is_running()]
    d.conclude(f"controllers that run: {', '.join(running)}; acknowledged: version 5; read back: {text and text[:14]}")
    return 0 if text and '"version": 5' in text else 1


run_case(case, HERE, ZonedDeployment)
