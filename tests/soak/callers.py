"""Simulated callers and the platform routers in front of the balancers.

Callers open short flows with one request each and long-lived flows with many requests."""

import asyncio
import zlib

from http_client import call
from wire import ACK, FIN, RST, SYN, Packet


class Router:
    """Selects the balancer of each packet by a hash of its addresses over the ready balancers, as the platform does.

    A balancer counts as ready until two readiness probes in a row fail. When fewer than half of the balancers are
    ready, all of them receive packets."""

    def __init__(self, system):
        self.system = system
        self.failed_probes = {}

    async def probe_forever(self):
        while True:
            await asyncio.gather(*(self.check(it) for it in self.system.balancers))
            await asyncio.sleep(0.5)

    async def check(self, balancer):
        status, _ = await call("GET", (balancer.address, self.system.ports["ready"]), "/readiness", "", 0.4)
        self.failed_probes[balancer.name] = 0 if status == 200 else self.failed_probes.get(balancer.name, 0) + 1

    def pick_balancer(self, packet):
        ready = [it for it in self.system.balancers if self.failed_probes.get(it.name, 2) < 2]
        choices = ready if 2 * len(ready) >= len(self.system.balancers) else self.system.balancers
        return choices[zlib.crc32(repr((packet.src, packet.dst)).encode()) % len(choices)]


class CallerFlow:
    """The caller's end of one flow: its sequence numbers, retransmission, and the answer to the last request."""

    def __init__(self, machine, source, target):
        self.machine, self.source, self.target = machine, source, target
        self.system = machine.system
        self.seq = self.system.random.getrandbits(32)
        self.echo = 0
        self.next_peer_seq = None  # next sequence number expected from the upstream; None until SYN-ACK
        self.event = asyncio.Event()
        self.answer = None
        self.is_reset = False

    def send(self, flags, data=b"", ack=None):
        number = self.next_peer_seq if ack is None else ack
        packet = Packet(self.echo, self.seq, number or 0, flags, self.target, self.source, data)
        self.balancer = self.system.router.pick_balancer(packet)
        self.machine.transport.sendto(packet.encode(), (self.balancer.address, self.system.ports["packets"]))

    def handle(self, packet):
        if packet.flags & RST:
            self.is_reset = True
            self.system.checks.reset_received(self, packet)
        elif packet.flags & SYN and self.next_peer_seq is None:
            self.echo = packet.echo
            self.next_peer_seq = (packet.seq + 1) & 0xFFFFFFFF
            self.seq = (self.seq + 1) & 0xFFFFFFFF
        elif packet.data and packet.seq == self.next_peer_seq:
            self.echo = packet.echo
            self.next_peer_seq = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            self.answer = packet.data
            self.send(ACK)
        self.event.set()

    async def send_until(self, condition, timeouts, transmit):
        for timeout in timeouts:
            transmit()
            end = self.system.now() + timeout
            while not condition() and not self.is_reset and self.system.now() < end:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), end - self.system.now())
                except asyncio.TimeoutError:
                    break
            if condition() or self.is_reset:
                break
        return condition() and not self.is_reset

    async def open(self):
        copy = iter(range(3))
        return await self.send_until(
            lambda: self.next_peer_seq is not None, (0.2, 0.4, 0.8), lambda: self.send(SYN, ack=next(copy)))

    async def request(self, name):
        data = f"POST / HTTP/1.1\r\nAttempt-Id: {name}\r\n\r\n".encode()
        self.answer = None
        done = await self.send_until(lambda: self.answer is not None, (0.2, 0.4, 0.8), lambda: self.send(ACK, data))
        if done and not self.answer.endswith(data):
            self.system.checks.fail("mixed", f"request {name} received the answer to another request")
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        return done

    def close(self):
        if self.next_peer_seq is not None and not self.is_reset:
            self.send(FIN | ACK)


class CallerMachine(asyncio.DatagramProtocol):
    """One caller address: its socket, and the flows that it has open, by (source, target)."""

    def __init__(self, system, address):
        self.system, self.address = system, address
        self.flows = {}
        self.next_port = 1024

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.system.ports["packets"]))

    def datagram_received(self, data, addr):
        packet = Packet.decode(data)
        if packet is None:
            self.system.checks.fail("mixed", "a caller received a malformed packet")
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
        """Opens a flow for one request, which the upstreams must run at most once."""
        flow = self.new_flow(target)
        self.system.checks.request_sent(name, flow)
        opened = await flow.open()
        if not opened:
            self.system.checks.open_failed(name, flow)
        served = opened and await flow.request(name)
        flow.close()
        self.flows.pop((flow.source, flow.target), None)
        self.system.checks.request_finished(served, flow)

    async def stream(self, target, prefix):
        """Sends up to 40 requests on one flow, and opens a new flow when it ends or is lost."""
        count = 0
        while True:
            flow = self.new_flow(target)
            if await flow.open():
                for _ in range(40):
                    count += 1
                    name = f"{prefix}-{count}"
                    self.system.checks.request_sent(name, flow)
                    served = await flow.request(name)
                    self.system.checks.request_finished(served, flow)
                    if not served:
                        break
                    await asyncio.sleep(self.system.random.uniform(0.05, 0.4))
                flow.close()
            self.flows.pop((flow.source, flow.target), None)
            await asyncio.sleep(0.1)
