"""CONFIG: two balancers of a zone are cut off from the core for 10 s. Meanwhile the core is replaced, the new machines
first. The two never find the new controllers, and use their old configuration for good."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-3"))
from deployment import APPLY_SECONDS, Client, Daemon, Deployment, Gateway, Host, configuration, run_case  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT = ("r-1", "198.18.0.1", 8080, "unsafe", "booking")
DROPPED = ("r-2", "198.18.0.1", 8081, "unsafe", "booking")
CUT_SECONDS = 10.0
CATCH_UP_SECONDS = 4.0
REMOVAL_GAP_SECONDS = 1.0
GRACE_SECONDS = 6.0
RECOVERY_SECONDS = 12.0
REQUESTS = 30


class ZonedDeployment(Deployment):
    """`balancers` are those of the clients' zone, `others` those of the other zones, which get no traffic."""

    others = ()

    def stop(self):
        for it in self.others:
            it.kill()
        super().stop()


async def replace_core(d):
    """replace_core, planned: the new machines first, then SIGTERM to the old ones, which don't come back."""
    old = list(d.controllers)
    for n, zone in enumerate(d.zones):
        successor = Daemon(d, "controller", f"core-{n + 4}", zone, f"{d.block}.{20 + n}")
        successor.starts = 1
        successor.start()
        d.controllers.append(successor)
        d.note(f"successor {successor.name} starts at {successor.address}")
    await asyncio.sleep(CATCH_UP_SECONDS + 0.2)

    async def remove(it):
        it.send(signal.SIGTERM)
        d.controllers.remove(it)
        d.seeds = [one.address for one in d.controllers][:3]
        d.note(f"{it.name} gets SIGTERM")
        end = d.now() + GRACE_SECONDS
        while it.is_running() and d.now() < end:
            await asyncio.sleep(0.05)
        it.kill()
        d.note(f"{it.name} has ended")

    ends = []
    for it in old:
        ends.append(asyncio.create_task(remove(it)))
        await asyncio.sleep(REMOVAL_GAP_SECONDS)
    await asyncio.gather(*ends)


async def request_all(d, client, route, label):
    """Names of the requests that were answered, of those whose flows were reset, and of the balancers that took them."""
    answered, reset, through = [], [], {}

    async def request(n):
        name = f"{label}-{n}"
        flow = client.new_flow((route[1], route[2]))
        is_answered = await flow.open() and await flow.request(name)
        through[name] = flow.through.name
        if is_answered:
            answered.append(name)
        if flow.is_reset:
            reset.append(name)
        d.note(f"{name} through {flow.through.name}: "
               f"{'answered' if is_answered else 'reset' if flow.is_reset else 'no answer'}")

    for n in range(REQUESTS):
        await request(n)
    return answered, reset, through


async def case(d):
    d.gateway = Gateway((f"{d.block}.253", d.ports["peer"]))
    await d.gateway.start()
    d.add_daemons(["za", "zb", "zc"], ["za", "za", "za", "zb", "zb", "zc", "zc"])
    d.start_daemons()
    d.others = d.balancers[3:]
    d.balancers = d.balancers[:3]
    status, _ = await d.order("POST", "/Config.Replace", configuration(3, [KEPT, DROPPED], ["booking"]))
    if status != 200:
        return 2
    runs = {}
    for n, zone in enumerate(d.zones):
        host = Host(d, "booking", zone, f"{d.block}.{60 + n}")
        host.on_run = lambda it, name, key: runs.setdefault(name, it.id)
        d.hosts.append(host)
        await host.start()
    client = Client(d, f"{d.block}.200")
    await client.start()
    probing = asyncio.create_task(d.probe_readiness())
    if not await d.wait_ready():
        return 2
    await asyncio.sleep(CATCH_UP_SECONDS)
    answered, _, _ = await request_all(d, client, DROPPED, "before")
    if len(answered) < REQUESTS:
        return 2

    cut = d.balancers[1:]
    cut_at = d.now()
    if TROUBLE:
        cores = [f"{d.block}.{10 + n}" for n in range(3)] + [f"{d.block}.{20 + n}" for n in range(3)]
        d.gateway.cuts = {(it.address, core) for it in cut for core in cores}
        d.note(f"cut off from the core: {', '.join(it.name for it in cut)}")
    await replace_core(d)
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - d.now()))
    d.gateway.cuts = set()
    d.note(f"the cut is over after {d.now() - cut_at:.1f} s")
    await asyncio.sleep(RECOVERY_SECONDS)

    status, _ = await d.order("POST", "/Config.Replace", configuration(5, [KEPT], ["booking"]))
    if status != 200:
        return 2
    d.note("version 5 is acknowledged, which drops the route of port 8081")
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    runs.clear()
    _, _, through = await request_all(d, client, DROPPED, "dropped")
    broken = [name for name in runs if name.startswith("dropped")]
    answered, _, _ = await request_all(d, client, KEPT, "kept")
    probing.cancel()
    by = sorted({through[it] for it in broken})
    d.conclude(f"requests on the dropped route, sent {APPLY_SECONDS + 1.0:.0f} s after the ack or later: {len(broken)} of "
               f"{REQUESTS} have run{', through ' + ', '.join(by) if by else ''}; on the kept route {len(answered)} of "
               f"{REQUESTS} are answered; in rotation: {', '.join(it.name for it in d.in_rotation())}")
    return 1 if broken else 0


run_case(case, HERE, ZonedDeployment)
