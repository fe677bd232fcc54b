"""Seeded schedules of faults, which may overlap in time, and the injector that applies and ends each fault."""

import asyncio
import math
import signal
from dataclasses import dataclass

from wire import pack_address


@dataclass
class Fault:
    at: float
    kind: str
    target: int
    seconds: float

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} target {self.target} for {self.seconds:.2f} s"


KINDS = (
    "kill_balancer", "stop_balancer", "pause_balancer", "kill_controller", "stop_controller", "pause_controller",
    "cut_controller", "cut_one_way", "cut_balancer", "loss", "delay", "disk_full", "wipe_controller", "kill_all",
    "crash_upstream", "replace_upstream", "drain_upstream", "reload",
)


def draw_schedule(random, seconds):
    faults = []
    at = 3.0
    while at < seconds - 6.0:
        at += random.uniform(0.1, 2.5)
        faults.append(Fault(at, random.choice(KINDS), random.randrange(1000), random.uniform(0.3, 4.0)))
        if random.random() < 0.3:  # a second fault within 0.2 s, so that faults overlap
            kind = random.choice(KINDS)
            faults.append(Fault(at + random.uniform(0, 0.2), kind, random.randrange(1000), random.uniform(0.3, 4.0)))
    return faults


class Injector:
    """Applies the faults of a schedule; each name in KINDS is a method, which returns once its fault has ended."""

    def __init__(self, system):
        self.system = system
        self.active = 0
        self.last_end = 0.0
        self.next_wipe_at = -1e9

    def pick_target(self, items, fault):
        return items[fault.target % len(items)] if items else None

    async def run(self, schedule, report):
        tasks = []
        for it in schedule:
            await asyncio.sleep(max(0.0, it.at - self.system.now()))
            report(str(it))
            tasks.append(asyncio.create_task(self.inject(it)))
        await asyncio.gather(*tasks)

    async def inject(self, fault):
        self.active += 1
        affected = self.affected_daemons(fault)
        for it in affected:
            it.faults += 1
            it.disturbed_at = math.inf
        try:
            await getattr(self, fault.kind)(fault)
        finally:
            self.active -= 1
            self.last_end = self.system.now()
            for it in affected:
                it.faults -= 1
                it.disturbed_at = math.inf if it.faults else self.last_end

    def affected_daemons(self, fault):
        """Daemons that the fault may stop, or keep from reaching the others."""
        if fault.kind in ("kill_all", "loss", "delay"):
            return self.system.daemons()
        if "balancer" in fault.kind:
            return [self.pick_target(self.system.balancers, fault)]
        if "controller" in fault.kind or fault.kind in ("cut_one_way", "disk_full"):
            return [self.pick_target(self.system.controllers, fault)]
        return []

    def majority_since(self):
        """Time since when a majority of the controllers has had no fault, and their common disk has not stalled."""
        controllers = sorted(it.disturbed_at for it in self.system.controllers)
        return max(controllers[len(controllers) // 2], self.system.disk_usable_since())

    def contact_since(self, balancer):
        """Time since when a balancer has been in contact with a majority of the controllers."""
        return max(balancer.disturbed_at, self.majority_since())

    async def restart(self, daemon, fault, number):
        daemon.send(number)
        if number == signal.SIGTERM:
            for _ in range(45):
                if not daemon.is_running():
                    break
                await asyncio.sleep(0.1)
        daemon.kill()
        await asyncio.sleep(min(fault.seconds, 2.0))
        daemon.start()

    async def kill_balancer(self, fault):
        await self.restart(self.pick_target(self.system.balancers, fault), fault, signal.SIGKILL)

    async def stop_balancer(self, fault):
        await self.restart(self.pick_target(self.system.balancers, fault), fault, signal.SIGTERM)

    async def kill_controller(self, fault):
        await self.restart(self.pick_target(self.system.controllers, fault), fault, signal.SIGKILL)

    async def stop_controller(self, fault):
        await self.restart(self.pick_target(self.system.controllers, fault), fault, signal.SIGTERM)

    async def kill_leader(self, fault):
        target = await self.system.find_leader()
        await self.inject(Fault(fault.at, "kill_controller", target, fault.seconds))

    async def pause(self, daemon, fault):
        daemon.pause()
        await asyncio.sleep(fault.seconds)
        daemon.resume()

    async def pause_balancer(self, fault):
        await self.pause(self.pick_target(self.system.balancers, fault), fault)

    async def pause_controller(self, fault):
        await self.pause(self.pick_target(self.system.controllers, fault), fault)

    async def block_links(self, pairs, fault):
        pairs = {(pack_address(a.address), pack_address(b.address)) for a, b in pairs}
        self.system.gateway.blocked_links |= pairs
        await asyncio.sleep(fault.seconds)
        self.system.gateway.blocked_links -= pairs

    async def cut_controller(self, fault):
        one = self.pick_target(self.system.controllers, fault)
        others = [it for it in self.system.daemons() if it is not one]
        await self.block_links([(one, it) for it in others] + [(it, one) for it in others], fault)

    async def cut_one_way(self, fault):
        one = self.pick_target(self.system.controllers, fault)
        await self.block_links([(one, it) for it in self.system.daemons() if it is not one], fault)

    async def cut_balancer(self, fault):
        one = self.pick_target(self.system.balancers, fault)
        await self.block_links(
            [(one, it) for it in self.system.controllers] + [(it, one) for it in self.system.controllers], fault)

    async def loss(self, fault):
        self.system.gateway.loss = 0.2
        await asyncio.sleep(fault.seconds)
        self.system.gateway.loss = 0.0

    async def delay(self, fault):
        self.system.gateway.delay = 0.15
        await asyncio.sleep(fault.seconds)
        self.system.gateway.delay = 0.0

    async def disk_full(self, fault):
        daemon = self.pick_target(self.system.controllers, fault)
        daemon.set_disk_full(True)
        await asyncio.sleep(fault.seconds)
        daemon.set_disk_full(False)

    async def wipe_controller(self, fault):
        # Wipes one disk at a time, and the next only after the group has repaired the loss: the settings tolerate the
        # loss of one disk.
        if self.system.now() < self.next_wipe_at:
            return
        self.next_wipe_at = self.system.now() + 1e9
        daemon = self.pick_target(self.system.controllers, fault)
        daemon.kill()
        daemon.delete_data()
        await asyncio.sleep(min(fault.seconds, 2.0))
        daemon.start()
        await self.system.wait_until_repaired()
        self.next_wipe_at = self.system.now()

    async def kill_all(self, fault):
        for it in self.system.daemons():
            it.kill()
        await asyncio.sleep(min(fault.seconds, 1.5))
        for it in self.system.daemons():
            it.start()

    async def crash_upstream(self, fault):
        upstream = self.pick_target(self.system.spare_upstreams(), fault)
        if upstream:
            self.system.remove_upstream(upstream)
            upstream.stop()
            await asyncio.sleep(fault.seconds)
            await self.system.add_upstream(upstream.service, upstream.zone)

    async def replace_upstream(self, fault):
        """Crashes an upstream and gives its address to a new upstream of the other service."""
        upstream = self.pick_target(self.system.spare_upstreams(), fault)
        if upstream:
            self.system.remove_upstream(upstream)
            upstream.stop()
            await asyncio.sleep(0.5)
            other = next(it for it in self.system.SERVICES if it != upstream.service)
            await self.system.add_upstream(other, upstream.zone, upstream.address)
            await self.system.add_upstream(upstream.service, upstream.zone)

    async def drain_upstream(self, fault):
        upstream = self.pick_target(self.system.spare_upstreams(), fault)
        if upstream:
            self.system.remove_upstream(upstream)
            await self.system.add_upstream(upstream.service, upstream.zone)
            await upstream.drain_and_deregister()

    async def reload(self, fault):
        daemon = self.pick_target(self.system.daemons(), fault)
        daemon.write_settings()
        if fault.target % 2:
            daemon.send(signal.SIGHUP)
