"""Seeded events beside the faults: evacuations of zones, the loss of all upstreams of a zone, and surges of callers.

They excuse no violation, and the soak does not wait for their end."""

import asyncio
import itertools

from daemons import ZONES
from faults import Fault, Injector
from http_client import call

# Orders are acknowledged in this time while a majority of the controllers has no fault (ack_timeout_ms).
ACKNOWLEDGE_SECONDS = 6.0
# The service has recovered this long after a surge or the loss of a zone, as after the last fault.
RECOVERY_SECONDS = 5.0


def draw_events(random, seconds):
    """Returns the events, and the faults that overlap with evacuations.

    Two zones are evacuated in turn and the third one is lost, so that one zone can always take new flows. All power
    fails during the last evacuation, a surge follows it, and the third zone is lost before. The checks after the last
    fault therefore cover an evacuation that had to survive and a service without a zone; both last until the end."""
    zones = random.sample(range(len(ZONES)), len(ZONES))
    evacuations, overlapping = draw_evacuations(random, zones[:2], seconds)
    losses = draw_series(random, "lose_zone", zones[2], random.uniform(4.0, 5.0), seconds - 9.0, (1.5, 3.0), (3.0, 8.0))
    factor, first = random.randint(4, 8), random.uniform(4.0, 8.0)
    surges = draw_series(random, "surge", factor, first, seconds - 6.0, (1.5, 3.0), (3.0, 9.0))
    last = [Fault(seconds - 6.0, "lose_zone", zones[2], 1000.0), Fault(seconds - 1.0, "surge", factor, 2.0)]
    return sorted(evacuations + losses + surges + last, key=lambda it: it.at), overlapping


def draw_evacuations(random, zones, seconds):
    """Draws evacuations with the loss of a leader and of a disk, and the loss of all power during the last one."""
    evacuations, overlapping = [], []
    at = 3.0
    while not evacuations or at < seconds - 2.5:
        evacuations.append(Fault(at, "evacuate", zones[len(evacuations) % 2], random.uniform(6.0, 7.5)))
        if at < seconds - 6.0:
            for kind, first, last in (("kill_leader", -0.3, 0.3), ("wipe_controller", 0.0, 3.0)):
                start = at + random.uniform(first, last)
                overlapping.append(Fault(start, kind, random.randrange(1000), random.uniform(0.3, 2.0)))
        at += evacuations[-1].seconds + 1.5
    evacuations[-1].seconds = 1000.0
    outage = min(evacuations[-1].at + random.uniform(0.5, 1.5), seconds - 1.5)
    return evacuations, overlapping + [Fault(outage, "kill_all", 0, random.uniform(0.3, 1.0))]


def draw_series(random, kind, target, at, end, lengths, pauses):
    series = []
    while at < end:
        series.append(Fault(at, kind, target, random.uniform(*lengths)))
        at += series[-1].seconds + random.uniform(*pauses)
    return series


class Events(Injector):
    """Carries out the events of a schedule; each kind is a method. For a surge, the target is the factor of callers."""

    def __init__(self, system, random):
        super().__init__(system)
        self.random = random
        self.operator = asyncio.Lock()

    async def inject(self, event):
        await getattr(self, event.kind)(event)

    async def evacuate(self, event):
        """Evacuates a zone, and ends this after event.seconds, which is longer than a controller is paused.

        Orders have no number, so a paused controller could revoke the next order by a late copy of the last one."""
        zone, checks = ZONES[event.target], self.system.checks
        async with self.operator:
            await self.order("Start", zone)
            checks.evacuated[zone] = self.system.now()
            await asyncio.sleep(event.seconds)
            del checks.evacuated[zone]
            await self.order("Finish", zone)
            checks.reopened[zone] = self.system.now()

    async def order(self, action, zone):
        """Repeats the order at one controller after the other until it is acknowledged."""
        begin = self.system.now()
        for address in itertools.cycle(self.system.shuffled_controllers(self.random)):
            status, _ = await call("POST", address, f"/Evacuations.{action}/{zone}", "", 1.0)
            if status == 200:
                self.system.checks.counts["orders"] += 1
                return
            if status == 400:
                self.system.checks.fail("evacuation", f"{action} of the known zone {zone} was refused")
            waited = self.system.now() - max(begin, self.system.injector.majority_since())
            if waited > ACKNOWLEDGE_SECONDS:
                begin = self.system.now()
                self.system.checks.fail("evacuation", f"{action} of zone {zone} is not acknowledged, status {status}")
            await asyncio.sleep(0.1)

    async def lose_zone(self, event):
        """Crashes all registered upstreams of a zone. New ones of the zone start when it is back."""
        zone = ZONES[event.target]
        lost = [it for it in self.system.upstreams if it.zone == zone]
        self.system.lost_zones[zone] = [it.service for it in lost]
        for it in lost:
            self.system.remove_upstream(it)
            it.stop()
        check = asyncio.create_task(self.check_service(f"the loss of zone {zone}"))
        await asyncio.sleep(event.seconds)
        for service in self.system.lost_zones.pop(zone):
            await self.system.add_upstream(service, zone)
        await check

    async def surge(self, event):
        """Multiplies the rate of new flows by event.target."""
        names = [f"surge{event.at:.2f}-{n}" for n in range(2 * (event.target - 1))]
        tasks = [asyncio.create_task(self.system.send_requests_forever(machine, it))
                 for machine in self.system.callers for it in names]
        await asyncio.sleep(event.seconds)
        for it in tasks:
            it.cancel()
        await self.check_service("a surge")

    async def check_service(self, after):
        """Checks the recovery if no fault was active in the meantime."""
        begin, injector, checks = self.system.now(), self.system.injector, self.system.checks
        await asyncio.sleep(RECOVERY_SECONDS)
        before = checks.results.copy()
        await asyncio.sleep(2.0)
        if injector.active == 0 and injector.last_end < begin:
            checks.check_served(before, after)
