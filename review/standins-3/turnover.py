"""Planned replacement of machines of the core, and requests of clients in one zone."""

import asyncio
import signal

from deployment import Daemon, Deployment

CATCH_UP_SECONDS = 4.0
GRACE_SECONDS = 6.0


class ZonedDeployment(Deployment):
    """`balancers` are those of the clients' zone, `others` those of the other zones, which get no traffic."""

    others = ()

    def stop(self):
        for it in self.others:
            it.kill()
        super().stop()


async def replace_core(d, old, gap_seconds):
    """replace_core, planned: the new machines first, then SIGTERM to the old ones, which don't come back."""
    for n, it in enumerate(old):
        successor = Daemon(d, "controller", f"core-{n + 4}", it.zone, f"{d.block}.{20 + n}")
        successor.starts = 1
        successor.start()
        d.controllers.append(successor)
        d.note(f"successor {successor.name} of {it.name} starts at {successor.address}")
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
        await asyncio.sleep(gap_seconds)
    await asyncio.gather(*ends)


async def request_all(d, client, route, label, count):
    """Names of the answered requests, and the balancer that took each."""
    answered, through = [], {}
    for n in range(count):
        name = f"{label}-{n}"
        flow = client.new_flow((route[1], route[2]))
        is_answered = await flow.open() and await flow.request(name)
        through[name] = flow.through.name
        if is_answered:
            answered.append(name)
        result = "answered" if is_answered else "reset" if flow.is_reset else "no answer"
        d.note(f"{name} through {flow.through.name}: {result}")
    return answered, through
