"""Callers behind the routers: flows with one request, and flows that stay open for many."""

import asyncio
import zlib

from http_client import call
from wire import ACK, FIN, RST, SYN, Packet


class Router:
    """Sends each packet of a flow to one of the balancers in rotation, by a hash as the platform does."""

    def __init__(self, world):
        self.world = world
        self.misses = {}

    async def watch_forever(self):
        while True:
            await asyncio.gather(*(self.check(it) for it in self.world.balancers))
            await asyncio.sleep(0.5)

    async def check(self, balancer):
        status, _ = await call("GET", (balancer.address, self.world.ports["ready"]), "/readiness", "", 0.4)
        self.misses[balancer.name] = 0 if status == 200 else self.misses.get(balancer.name, 0) + 1

    def pick(self, packet):
        ready = [it for it in self.world.balancers if self.misses.get(it.name, 2) < 2]
        choices = ready if 2 * len(ready) >= len(self.world.balancers) else self.world.balancers
        return choices[zlib.crc32(repr((packet.src, packet.dst)).encode()) % len(choices)]


class CallerFlow:
    """The caller's end of one flow."""

    def __init__(self, machine, source, target):
        self.machine, self.source, self.target = machine, source, target
        self.world = machine.world
        self.seq = self.world.random.getrandbits(32)
        self.echo = 0
        self.peer = None  # next sequence that is expected of the upstream
        self.event = asyncio.Event()
        self.answer = None
        self.is_reset = False

    def send(self, flags, data=b"", ack=None):
        number = self.peer if ack is None else ack
        packet = Packet(self.echo, self.seq, number or 0, flags, self.target, self.source, data)
        balancer = self.world.router.pick(packet)
        self.machine.transport.sendto(packet.encode(), (balancer.address, self.world.ports["packets"]))

    def handle(self, packet):
        if packet.flags & RST:
            self.is_reset = True
            self.world.checks.reset_received(self, packet)
        elif packet.flags & SYN and self.peer is None:
            self.echo = packet.echo
            self.peer = (packet.seq + 1) & 0xFFFFFFFF
            self.seq = (self.seq + 1) & 0xFFFFFFFF
        elif packet.data and packet.seq == self.peer:
            self.echo = packet.echo
            self.peer = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            self.answer = packet.data
            self.send(ACK)
        self.event.set()

    async def wait(self, condition, pauses, repeat):
        for pause in pauses:
            repeat()
            end = self.world.now() + pause
            while not condition() and not self.is_reset and self.world.now() < end:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), end - self.world.now())
                except asyncio.TimeoutError:
                    break
            if condition() or self.is_reset:
                break
        return condition() and not self.is_reset

    async def open(self):
        copy = iter(range(3))
        return await self.wait(
            lambda: self.peer is not None, (0.2, 0.4, 0.8), lambda: self.send(SYN, ack=next(copy)))

    async def request(self, name):
        data = f"POST / HTTP/1.1\r\nAttempt-Id: {name}\r\n\r\n".encode()
        self.answer = None
        done = await self.wait(lambda: self.answer is not None, (0.2, 0.4, 0.8), lambda: self.send(ACK, data))
        if done and not self.answer.endswith(data):
            self.world.checks.fail("mixed", f"request {name} got the answer of another one")
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        return done

    def close(self):
        if self.peer is not None and not self.is_reset:
            self.send(FIN | ACK)


class CallerMachine(asyncio.DatagramProtocol):
    def __init__(self, world, address):
        self.world, self.address = world, address
        self.flows = {}
        self.next_port = 1024

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.ports["packets"]))

    def datagram_received(self, data, addr):
        packet = Packet.decode(data)
        if packet is None:
            self.world.checks.fail("mixed", "a caller got a packet that cannot be read")
            return
        flow = self.flows.get((packet.dst, packet.src))
        if flow:
            flow.handle(packet)

    def new_flow(self, target):
        self.next_port = 1024 + (self.next_port - 1023) % 60000
        flow = CallerFlow(self, (self.address, self.next_port), target)
        self.flows[(flow.source, flow.target)] = flow
        return flow

    async def single_request(self, target, name):
        """One flow for one request that must not run twice."""
        flow = self.new_flow(target)
        self.world.checks.attempted(name, flow)
        opened = await flow.open()
        if not opened:
            self.world.checks.not_run(name, flow)
        served = opened and await flow.request(name)
        flow.close()
        self.flows.pop((flow.source, flow.target), None)
        self.world.checks.finished(served)

    async def stream(self, target, prefix):
        """A flow that stays open for many requests; opened again when it is lost."""
        count = 0
        while True:
            flow = self.new_flow(target)
            if await flow.open():
                for _ in range(40):
                    count += 1
                    name = f"{prefix}-{count}"
                    self.world.checks.attempted(name, flow)
                    served = await flow.request(name)
                    self.world.checks.finished(served)
                    if not served:
                        break
                    await asyncio.sleep(self.world.random.uniform(0.05, 0.4))
                flow.close()
            self.flows.pop((flow.source, flow.target), None)
            await asyncio.sleep(0.1)
