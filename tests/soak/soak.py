"""Fault soak: runs the daemons under a seeded schedule of faults and checks the guarantees from outside.

Prints one line for each fault and a verdict; exits with status 1 if a guarantee was violated."""

import argparse
import asyncio
import functools
import json
import math
import os
import pathlib
import random as random_module
import shutil
import socket
import sys
import tempfile
import time

from callers import CallerMachine, Router
from checks import Checks
from daemons import Daemon, Gateway, ZONES
from events import Events, draw_events
from faults import Injector, draw_schedule
from http_client import call
from upstreams import Upstream


class SoakSystem:
    """The system under test with its simulated callers, routers, upstreams and operator."""

    SERVICES = ("booking", "archive")
    DRAIN_SECONDS = 3.0
    # All controllers stop while the machine's disk takes this long for a sync; 6 s and more were seen beside builds.
    DISK_STALL_SECONDS = 0.5

    def __init__(self, program, seed, folder, scale):
        self.program, self.folder, self.scale = program, folder, scale
        self.random = random_module.Random(seed)
        self.started_at = time.monotonic()
        self.checks = Checks(self)
        self.injector = Injector(self)
        self.router = Router(self)
        self.gateway = Gateway(random_module.Random(seed + 1))
        self.balancers, self.controllers, self.upstreams, self.callers = [], [], [], []
        # Soaks that run at the same time use separate blocks of loopback addresses, 127.BLOCK.0.0/16.
        self.block = 1 + seed % 250
        self.next_upstream = 0
        self.version = 0
        self.longest_sync = 0.0
        self.sync_begin = math.inf
        self.disk_stall_end = -math.inf
        self.routes = {}
        self.ports = {it: self.free_port() for it in ("peer", "packets", "ready", "control", "upstream")}
        self.targets = {it: (f"198.18.0.{n + 1}", 8080) for n, it in enumerate(self.SERVICES)}
        self.lost_zones = {}  # services of the upstreams that start when a lost zone is back, by zone

    def free_port(self):
        with socket.socket() as it:
            it.bind((f"127.{self.block}.255.254", 0))
            return it.getsockname()[1]

    def now(self):
        return time.monotonic() - self.started_at

    def wall_ms(self):
        return int(time.time() * 1000)

    def daemons(self):
        return self.balancers + self.controllers

    def is_fault_free(self):
        return self.injector.active == 0 and self.now() - self.injector.last_end > Checks.FAULT_EXCUSE_SECONDS

    def fault_free_since(self):
        return self.now() if self.injector.active else self.injector.last_end

    def services_of(self, target):
        return [name for name, it in self.targets.items() if it == target]

    def spare_upstreams(self):
        """Upstreams that a fault may remove: their service keeps at least two others."""
        count = {it: sum(one.service == it for one in self.upstreams) for it in self.SERVICES}
        return [it for it in self.upstreams if count[it.service] > 2]

    def shuffled_controllers(self, random):
        addresses = [(it.address, self.ports["control"]) for it in self.controllers]
        random.shuffle(addresses)
        return addresses

    async def find_leader(self):
        """Returns the index of the controller that answers reads itself, or 0."""
        answers = await asyncio.gather(*(call("GET", (it.address, self.ports["control"]), "/Config.Read", "", 0.5, 0)
                                         for it in self.controllers))
        return next((n for n, (status, _) in enumerate(answers) if status == 200), 0)

    async def add_upstream(self, service, zone, address=None):
        if zone in self.lost_zones:
            self.lost_zones[zone].append(service)
            return
        if address is None:
            self.next_upstream += 1
            address = f"127.{self.block}.{3 + self.next_upstream // 250}.{1 + self.next_upstream % 250}"
        upstream = Upstream(self, service, zone, address, self.random.choice((0, 0, 0, -1500, 1500)))
        await upstream.start()
        self.upstreams.append(upstream)

    def remove_upstream(self, upstream):
        self.upstreams.remove(upstream)

    async def start(self):
        await self.gateway.start()
        for n in range(3):
            self.controllers.append(self.daemon("controller", n))
        for n in range(4 * self.scale):
            self.balancers.append(self.daemon("balancer", n))
        seeds = [it.address for it in self.controllers]
        for it in self.daemons():
            it.seeds = seeds
            it.start()
        for n in range(6 * self.scale):
            await self.add_upstream("booking", ZONES[n % 3])
        for n in range(3 * self.scale):
            await self.add_upstream("archive", ZONES[n % 3])
        for n in range(3):
            machine = CallerMachine(self, f"127.{self.block}.200.{n + 1}")
            await machine.start()
            self.callers.append(machine)
        await self.replace_config_until_accepted()

    def daemon(self, role, n):
        address = f"127.{self.block}.{1 if role == 'balancer' else 2}.{n + 1}"
        return Daemon(self.program, role, f"{role}-{n}", ZONES[n % 3], address, self.ports, self.gateway,
                      self.folder, 1)

    def next_configuration(self):
        self.version += self.random.randint(1, 3)
        routes = [
            {"name": f"r-{name}", "hostname": target[0], "path_prefix": f"/{target[1]}/", "route_type": "unsafe",
             "timeout_ms": self.random.randint(900, 1500), "target_latency_ms": 150, "priority": 1, "service": name,
             "max_attempts": 2}
            for name, target in self.targets.items()
        ]
        services = [{"name": it} for it in self.SERVICES]
        text = json.dumps({"version": self.version, "routes": routes, "services": services, "limits": {}})
        self.checks.submitted[self.version] = text
        return self.version, text

    async def replace_config_until_accepted(self, limit=20.0):
        version, text = self.next_configuration()
        end = self.now() + limit
        while self.now() < end:
            status, _ = await call("POST", self.shuffled_controllers(self.random)[0], "/Config.Replace", text, 1.0)
            if status == 200:
                self.checks.config_acknowledged(version)
                return True
            if status in (400, 409, 412, 413, 422):
                self.checks.fail("config", f"the valid version {version} was refused with status {status}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def replace_config_forever(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await self.replace_config_until_accepted()

    async def read_config_forever(self):
        while True:
            await self.read_config_once()
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def read_config_once(self):
        floor = self.checks.acknowledged_version
        status, text = await call("GET", self.shuffled_controllers(self.random)[0], "/Config.Read", "", 1.0)
        if status == 200:
            self.checks.config_read(floor, json.loads(text)["version"], text)
        return status == 200

    async def wait_until_repaired(self):
        """Waits until the group has repaired a lost disk: four reads in a row succeed, then 2 s pass."""
        successful_reads = 0
        while successful_reads < 4:
            successful_reads = successful_reads + 1 if await self.read_config_once() else 0
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)

    async def send_requests_forever(self, machine, n):
        count = 0
        while True:
            count += 1
            name = self.random.choice(self.SERVICES)
            asyncio.create_task(machine.single_request(self.targets[name], f"{machine.address}-{n}-{count}"))
            await asyncio.sleep(self.random.expovariate(12))

    async def probe_disk(self):
        """Syncs a file again and again, as the controllers do, and notes the stalls of the disk."""
        while True:
            self.sync_begin = self.now()
            await asyncio.to_thread(sync_file, pathlib.Path(self.folder) / "disk-probe")
            waited = self.now() - self.sync_begin
            self.sync_begin = math.inf
            self.longest_sync = max(self.longest_sync, waited)
            if waited > self.DISK_STALL_SECONDS:
                self.disk_stall_end = self.now()
            await asyncio.sleep(0.2)

    def disk_usable_since(self):
        return math.inf if self.now() - self.sync_begin > self.DISK_STALL_SECONDS else self.disk_stall_end

    async def check_recovery(self):
        """After the last fault: checks that requests are served again and that the configuration can be read."""
        for it in self.daemons():
            it.resume()
            it.start()
        await asyncio.sleep(5.0)
        before, results = dict(self.checks.counts), self.checks.results.copy()
        for _ in range(40):
            if await self.read_config_once():
                break
            await asyncio.sleep(0.25)
        else:
            self.checks.fail("recover", "the configuration cannot be read 10 s after the last fault")
        await asyncio.sleep(2.0)
        served, lost = (self.checks.counts[it] - before.get(it, 0) for it in ("served", "lost"))
        if served < 20 or lost > served:
            self.checks.fail("recover", f"after the last fault {served} requests were served and {lost} lost")
        self.checks.check_served(results, "the last fault")
        self.checks.check_reopened(2.0)

    def stop(self):
        for it in self.daemons():
            it.resume()
            it.kill()


def sync_file(path):
    with open(path, "wb", buffering=0) as it:
        it.write(b"probe")
        os.fsync(it.fileno())


def draw_all(seed, seconds):
    events, overlapping = draw_events(random_module.Random(seed + 2), seconds)
    faults = draw_schedule(random_module.Random(seed), seconds) + overlapping
    return sorted(faults, key=lambda it: it.at), events


async def soak(arguments, folder):
    system = SoakSystem(arguments.program, arguments.seed, folder, arguments.scale)
    faults, events = draw_all(arguments.seed, arguments.seconds)
    report = functools.partial(print, flush=True)
    try:
        await system.start()
        operations = Events(system, random_module.Random(arguments.seed + 3))
        tasks = [system.router.probe_forever(), system.replace_config_forever(), system.read_config_forever(),
                 system.probe_disk(), operations.run(events, report)]
        for machine in system.callers:
            tasks += [system.send_requests_forever(machine, n) for n in range(2)]
            tasks += [machine.stream(system.targets[it], f"{machine.address}-s{n}") for n, it in
                      enumerate(system.SERVICES * 2)]
        running = [asyncio.create_task(it) for it in tasks]
        await system.injector.run(faults, report)
        await system.check_recovery()
        for it in running:
            if it.done() and it.exception():
                raise it.exception()
            it.cancel()
    finally:
        system.stop()
    return system


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/bin/ibisgw-platform")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="length of the schedule of faults")
    parser.add_argument("--scale", type=int, default=1, help="multiplies balancers and upstreams")
    parser.add_argument("--replay", action="store_true", help="only show the schedule of the seed")
    parser.add_argument("--keep", help="folder for logs; without it they are kept only after a failure")
    arguments = parser.parse_args()
    if arguments.replay:
        for it in sorted(sum(draw_all(arguments.seed, arguments.seconds), []), key=lambda it: it.at):
            print(it)
        return 0
    folder = arguments.keep or tempfile.mkdtemp(prefix=f"ibisgw-soak-{arguments.seed}-")
    system = asyncio.run(soak(arguments, folder))
    for it in system.checks.failures[:20]:
        print("BROKEN", it)
    verdict = "passed" if not system.checks.failures else f"failed, logs in {folder}"
    print(f"soak seed {arguments.seed}: {verdict}; {system.checks.summary()}, "
          f"longest sync {system.longest_sync:.2f} s")
    if not system.checks.failures and not arguments.keep:
        shutil.rmtree(folder)
    return 1 if system.checks.failures else 0


if __name__ == "__main__":
    sys.exit(main())
