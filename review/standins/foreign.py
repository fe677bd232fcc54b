"""Live flows to hosts while another writer sends a heartbeat that names no host to use: are the flows left alone?"""

import asyncio
import json
import time

from flows import Client, Host, Router, http
from system import CATCH_UP_S, CONNECTIVITY_WINDOW_S, CannotRun, configuration, is_troubled, run_case

TARGETS = (("127.198.18.1", 8080), ("127.198.18.1", 8081))  # a safe and an unsafe route, both of the service huvo11a
CLIENTS = 24
WORK_S = 0.3  # of a request; the clients wait longer


async def watch(system, foreign_heartbeat):
    """foreign_heartbeat(host) returns the identifier and the body of the other writer's call."""
    record = system.record
    controllers = system.start_controllers()
    balancers = [system.add("balancer", n, f"zone-{n}") for n in (1, 2)]
    for it in balancers:
        it.start(controllers, bootstrap=True)
    first = configuration(7, services=("huvo11a", "huvo11a"))
    if system.replace_configuration(first, controllers, 8, "version 7") != 200:
        raise CannotRun("the first configuration was not acknowledged")
    hosts = [Host(system, controllers, "huvo11a", f"zone-{1 + n % 3}", n + 1) for n in range(4)]
    for it in hosts:
        it.WORK_S = WORK_S
        await it.start()
    router = Router(system, balancers)
    probing = asyncio.create_task(router.probe_forever())
    end = time.monotonic() + 10
    while len(router.ready()) < len(balancers):
        if time.monotonic() > end:
            raise CannotRun("the balancers did not become ready")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)

    broken = []
    lost = []

    async def use(client, name, target, is_fresh, delay):
        """A client that keeps a flow open for many requests, with pauses, or opens a flow for each; it opens another if
        it loses one."""
        count = 0
        await asyncio.sleep(delay)
        while True:
            flow = client.new_flow(target)
            if await flow.open():
                host = None
                while flow.reset is None:
                    count += 1
                    attempt = f"{name}-{count}"
                    record(f"{name} sends {attempt}")
                    served = await flow.request(attempt)
                    record(f"{name} {'has the answer to' if served else 'has no answer to'} {attempt}")
                    ran = [it for it in hosts if it.runs and any(run[0] == attempt for run in it.runs[-50:])]
                    host = ran[0] if ran else host
                    if flow.reset is None and (is_fresh or not served):
                        flow.close()
                        break
                    # A pause between two requests, in which a reset may come.
                    end = time.monotonic() + 0.2
                    while flow.reset is None and time.monotonic() < end:
                        await asyncio.sleep(0.02)
                own = host and (flow.source, flow.target) in host.resets_sent
                if host and not own and flow.reset and flow.reset.sum == 0:
                    broken.append(name)
                    record(f"{name} gets a reset on its open flow to host {host.id}, which lives and sent none")
                    if not served and any(run[0] == attempt for run in host.runs):
                        lost.append(attempt)
                        record(f"{attempt} runs at host {host.id}, but its client has lost the flow")
            await asyncio.sleep(0.3)

    clients = [Client(system, router, n + 1) for n in range(CLIENTS)]
    for it in clients:
        await it.start()
    using = [asyncio.create_task(use(it, f"client-{n + 1}", TARGETS[n % 2], n % 3 == 2, n * 0.02))
             for n, it in enumerate(clients)]
    # All machines are in touch: nothing was started or stopped for longer than the connectivity window.
    await asyncio.sleep(CATCH_UP_S + CONNECTIVITY_WINDOW_S)

    victim = hosts[0]
    if is_troubled():
        identifier, body = foreign_heartbeat(victim)
        status, _ = await http("POST", (controllers[0].address, system.ports["control"]),
                               f"/Instances.Heartbeat/i-{identifier}", json.dumps(body).encode())
        record(f"another writer -> {controllers[0].name} heartbeat of {identifier} with a service that isn't named, at "
               f"the address of host {victim.id}: {status}")
    sent_at = time.monotonic()
    await asyncio.sleep(8)
    later = {it.id: sum(at > sent_at + 2 for _, at in it.runs) for it in hosts}
    record(f"requests that the hosts ran from 2 s after the heartbeat on: {later}")
    record(f"hosts ran {[len(it.runs) for it in hosts]} requests; flows reset under live hosts: {len(broken)}; "
           f"requests that ran and lost their answer: {len(lost)}")
    for it in using + [probing]:
        it.cancel()
    if min(len(it.runs) for it in hosts) == 0:
        raise CannotRun("a host served nothing")
    for it in hosts:
        it.end()
    return not broken


def run(folder, foreign_heartbeat):
    run_case(folder, lambda system: asyncio.run(watch(system, foreign_heartbeat)))
