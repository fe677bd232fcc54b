"""RECOVER: after a disk is lost while the other controllers lose power, heartbeats of another writer, which name a service
that no configuration names, take every host out of use for good."""

import asyncio
import json
import os
import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-3"))
from deployment import (  # noqa: E402
    FIN, ACK, HEARTBEAT_SECONDS, Client, Deployment, Host, configuration, http, run_case)

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TARGET = ("198.18.0.1", 8080)
HOSTS = 6
DOWN_SECONDS = 1.2
RECOVERY_SECONDS = 12.0
MEASURED_SECONDS = 6.0
OTHER_SERVICE = "legacy-desk"


class OtherWriter:
    """Another writer (Service discovery): its heartbeats are complete, but name a service that is not named here. It runs
    beside a host and names the same address. Like a host, it calls the next daemon when one refuses."""

    def __init__(self, deployment, host):
        self.deployment, self.host = deployment, host
        self.id = f"i-{deployment.random.getrandbits(48) | 1:012x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def beat_forever(self):
        d = self.deployment
        while True:
            for it in d.shuffled_controls():
                self.sequence += 1
                body = {"service": OTHER_SERVICE, "address": f"{self.host.address}:{d.ports['host']}",
                        "zone": self.host.zone, "version": "v0", "max_concurrency": 2, "state": "ready",
                        "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
                status, _ = await http("POST", it, f"/Instances.Heartbeat/{self.id}", json.dumps(body))
                if status:
                    d.note(f"other writer {self.id} beside host {self.host.id} to {it[0]}: {status}")
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def case(d):
    d.add_daemons(["za", "zb", "zc"], ["za", "zb"])
    d.start_daemons()
    route = ("r-1", *TARGET, "unsafe", "booking")
    status, _ = await d.order("POST", "/Config.Replace", configuration(3, [route], ["booking"]))
    if status != 200:
        return 2
    for n in range(HOSTS):
        host = Host(d, "booking", d.zones[n % 3], f"{d.block}.{60 + n}")
        host.on_run = lambda host, name, key: d.note(f"host {host.id} runs {name}")
        d.hosts.append(host)
        await host.start()
    tasks = [asyncio.create_task(d.probe_readiness())]
    if not await d.wait_ready():
        return 2
    await asyncio.sleep(2.0)
    tasks += [asyncio.create_task(OtherWriter(d, it).beat_forever()) for it in d.hosts]

    client = Client(d, f"{d.block}.200")
    await client.start()
    results = []

    async def request(n):
        sent_at = d.now()
        flow = client.new_flow(TARGET)
        served = await flow.open() and await flow.request(f"a-{n}")
        if not flow.is_reset and flow.peer_next is not None:
            flow.send(FIN | ACK)
        results.append((sent_at, served))
        d.note(f"request a-{n}, sent at {sent_at:.3f}, answered: {served}")

    async def requests():
        n = 0
        while True:
            n += 1
            asyncio.create_task(request(n))
            await asyncio.sleep(0.05)

    def share(begin, end):
        served = [it for at, it in results if begin <= at < end]
        return sum(served), len(served)

    tasks.append(asyncio.create_task(requests()))
    await asyncio.sleep(6.0)
    # The final fault comes right after a configuration was acknowledged.
    status, _ = await d.order("POST", "/Config.Replace", configuration(5, [route], ["booking"]))
    if status != 200:
        return 2
    fault_at = d.now()
    if TROUBLE:
        d.note("final fault: core-1 loses its disk, the other controllers lose power")
        for it in d.controllers:
            it.kill()
        shutil.rmtree(d.controllers[0].data)
        await asyncio.sleep(DOWN_SECONDS)
        for it in d.controllers:
            it.start()
        d.note("the controllers are back")
    back_at = d.now()
    await asyncio.sleep(RECOVERY_SECONDS + MEASURED_SECONDS + 2.0)
    status, text = await d.order("GET", "/Config.Read")
    version = json.loads(text)["version"] if status == 200 else None
    for it in tasks:
        it.cancel()
    before = share(0.0, fault_at - 1.5)
    after = share(back_at + RECOVERY_SECONDS, back_at + RECOVERY_SECONDS + MEASURED_SECONDS)
    d.note(f"configuration read back: {version}")
    d.conclude(f"served before the final fault: {before[0]} of {before[1]}; "
               f"later than {RECOVERY_SECONDS:.0f} s after it: {after[0]} of {after[1]}")
    if 4 * before[0] < before[1] or not after[1]:
        return 2
    return 1 if 4 * after[0] < after[1] else 0


run_case(case, HERE, Deployment)
