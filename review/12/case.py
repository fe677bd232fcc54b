"""FLOW: an open flow is reset when the balancer that opened it is stopped as planned, because its client has last heard
from another host that also answered its SYN."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-3"))
from deployment import ACK, SYN, TOUCH_SECONDS, Client, Deployment, Host, configuration, run_case  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TARGET = ("198.18.0.1", 8080)
FLOWS = 40
# The network loses the first SYN+ACK of every eighth flow, 5 of some 400 datagrams.
LOSS_INTERVAL = 8


async def case(d):
    d.add_daemons(["za", "zb", "zc"], ["za", "za", "za"])
    d.start_daemons()
    status, _ = await d.order("POST", "/Config.Replace",
                              configuration(3, [("r-1", *TARGET, "unsafe", "booking")], ["booking"]))
    if status != 200:
        return 2
    lost, opened, broken = set(), {}, []

    def loses(host, packet):
        is_first = packet.flags == SYN | ACK and packet.dst not in lost and packet.dst[1] % LOSS_INTERVAL == 0
        if is_first:
            lost.add(packet.dst)
        return is_first

    def on_open(host, key):
        opened[key] = host
        d.note(f"the flow of {key[0]} opens at host {host.id}")

    for n in range(6):
        host = Host(d, "booking", d.zones[n % 3], f"{d.block}.{60 + n}")
        host.loses, host.on_open = loses, on_open
        host.on_run = lambda host, name, key: d.note(f"host {host.id} runs {name}")
        d.hosts.append(host)
        await host.start()
    probes = asyncio.create_task(d.probe_readiness())
    if not await d.wait_ready():
        return 2
    await asyncio.sleep(TOUCH_SECONDS + 0.5)

    client = Client(d, f"{d.block}.200")
    await client.start()
    reset_by = {}
    for host in d.hosts:
        host.on_reset = lambda host, key: reset_by.setdefault(key, host)

    def on_reset(flow, packet):
        key = (flow.src, flow.dst)
        host, sender = opened.get(key), reset_by.get(key)
        is_held = host is not None and host.is_alive and key in host.flows
        who = f"host {sender.id}" if sender else "the system"
        d.note(f"the client gets an RST on the flow of {flow.src} from {who}; "
               f"the flow is open at host {host.id if host else 'none'}, which is alive: {is_held}")
        if is_held and sender is not host:
            broken.append(flow.src)

    client.on_reset = on_reset
    flows = []

    async def first_request(n):
        flow = client.new_flow(TARGET)
        if await flow.open():
            d.note(f"request a-{n} on {flow.src}, through {flow.through.name}")
            served = await flow.request(f"a-{n}")
            d.note(f"request a-{n} answered: {served}")
            flows.append((n, flow))

    first = []
    for n in range(FLOWS):
        first.append(asyncio.create_task(first_request(n)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*first)
    await asyncio.sleep(0.5)
    if TROUBLE:
        d.note(f"planned stop: SIGTERM to {d.balancers[0].name}")
        d.balancers[0].send(signal.SIGTERM)
    await asyncio.sleep(2.2)

    async def second_request(n, flow):
        d.note(f"request b-{n} on {flow.src}, echo {flow.echo}")
        served = await flow.request(f"b-{n}")
        d.note(f"request b-{n} through {flow.through.name} answered: {served}")

    await asyncio.gather(*(second_request(n, flow) for n, flow in flows if not flow.is_reset))
    probes.cancel()
    d.conclude(f"flows with a first answer: {len(flows)}; reset by others than their host while it holds them: "
               f"{len(broken)}")
    return 1 if broken else 0


run_case(case, HERE, Deployment)
