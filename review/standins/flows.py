"""Hosts and clients that speak the packets of PROTOCOL.md over loopback, and the provider's routers.

Every packet of a host or a client carries a sum; a reset of the system's own has the sum 0."""

import asyncio
import json
import random
import socket
import struct
import time
import zlib
from dataclasses import dataclass

HEAD = struct.Struct("<IIIBBHIIHIH")
SYN, ACK, FIN, RST = 8, 32, 64, 1
SUM_KEY = 0x5EED
RESET_WINDOW = 76_800
HEARTBEAT_S = 1.2


def to_number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def to_address(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def after(a, b):
    return 0 < (a - b) & 0xFFFFFFFF < 1 << 31


@dataclass
class Packet:
    echo: int
    seq: int
    ack: int
    flags: int
    dst: tuple
    src: tuple
    data: bytes = b""
    sum: int = 0

    def sum_of(self):
        fields = (self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, self.flags, self.dst, self.src, self.data)
        return zlib.crc32(repr(fields).encode(), SUM_KEY) or 1

    def encode(self):
        return HEAD.pack(self.echo, self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, self.flags, 0, len(self.data),
                         self.sum_of(), to_number(self.dst[0]), self.dst[1], to_number(self.src[0]),
                         self.src[1]) + self.data

    @staticmethod
    def decode(raw):
        echo, seq, ack, flags, _, length, total, dst, dport, src, sport = HEAD.unpack_from(raw)
        assert length == len(raw) - HEAD.size
        return Packet(echo, seq, ack, flags, (to_address(dst), dport), (to_address(src), sport), raw[HEAD.size:], total)


async def http(method, address, path, body=b"", timeout=1.0, redirects=2):
    """Returns (status, body); status 0 without a response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return await reader.read(-1)
        finally:
            writer.close()

    try:
        head, _, text = (await asyncio.wait_for(exchange(), timeout)).partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        status = int(lines[0].split()[1])
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, b""
    location = next((it[10:] for it in lines if it.lower().startswith("location: ")), "")
    if status == 307 and location and redirects:
        host, _, target = location.removeprefix("http://").partition("/")
        name, _, port = host.partition(":")
        return await http(method, (name, int(port)), "/" + target, body, timeout, redirects - 1)
    return status, text


class HostFlow:
    def __init__(self, packet):
        self.seq = random.getrandbits(32)  # of the SYN+ACK, then of the next byte to send
        self.next = (packet.seq + 1) & 0xFFFFFFFF  # next byte expected of the client
        self.echo = packet.echo
        self.is_open = False
        self.last_answer = None


class Host(asyncio.DatagramProtocol):
    """One lifetime of a host: answers SYNs and requests directly, has a health check, and sends heartbeats."""

    WORK_S = 0.02

    def __init__(self, system, controllers, service, zone, number, identifier=None):
        self.system, self.controllers, self.service, self.zone = system, controllers, service, zone
        self.address = (f"{system.net}.3.{number}", system.ports["host"])
        self.id = identifier or "%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.resets_sent = set()  # (client, target) of flows that this host has reset
        self.runs = []  # (Attempt-Id, seconds)
        self.drain_acked_at = None
        self.has_ended = False

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        self.server = await asyncio.start_server(self.health, *self.address)
        self.task = asyncio.create_task(self.beat_forever())

    def end(self):
        self.has_ended = True
        self.task.cancel()
        self.server.close()
        self.transport.close()

    async def health(self, reader, writer):
        try:
            if await asyncio.wait_for(reader.read(1000), 2):
                status = "200 OK" if self.state == "ready" else "503 Unavailable"
                writer.write(f"HTTP/1.1 {status}\r\nInstance-Id: i-{self.id}\r\nContent-Length: 0\r\n\r\n".encode())
        except (OSError, asyncio.TimeoutError):
            pass
        writer.close()

    def heartbeat(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "max_concurrency": 2, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    async def beat(self):
        """One call; the next controller is called if there is no 2xx within a second."""
        for it in random.sample(self.controllers, len(self.controllers)):
            self.sequence += 1
            state = self.state
            body = json.dumps(self.heartbeat()).encode()
            status, _ = await http("POST", (it.address, self.system.ports["control"]),
                                   f"/Instances.Heartbeat/i-{self.id}", body)
            if 200 <= status < 300:
                if state == "draining" and self.drain_acked_at is None:
                    self.drain_acked_at = time.monotonic()
                    self.system.record(f"{it.name} -> host {self.id}: draining acknowledged")
                return True
        return False

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def send(self, packet):
        self.transport.sendto(packet.encode(), (packet.dst[0], self.system.ports["packets"]))

    def datagram_received(self, raw, _):
        if int.from_bytes(raw[:8], "big") not in (0, int(self.id, 16)):
            return
        packet = Packet.decode(raw[8:])
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if packet.flags & SYN:
            if flow is None or flow.is_open:
                flow = self.flows[key] = HostFlow(packet)
            flow.echo = packet.echo
            self.send(Packet(flow.echo, flow.seq, flow.next, SYN | ACK, packet.src, packet.dst))
            return
        if flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) & 0xFFFFFFFF):
            self.resets_sent.add(key)
            self.send(Packet(packet.echo, packet.ack, 0, RST, packet.src, packet.dst))
            return
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            flow.seq = (flow.seq + 1) & 0xFFFFFFFF
        if packet.flags & FIN:
            self.send(Packet(flow.echo, flow.seq, packet.seq + 1, FIN | ACK, packet.src, packet.dst))
            del self.flows[key]
        elif packet.data and packet.seq == flow.next:
            flow.next = (flow.next + len(packet.data)) & 0xFFFFFFFF
            self.send(Packet(flow.echo, flow.seq, flow.next, ACK, packet.src, packet.dst))
            asyncio.get_running_loop().call_later(self.WORK_S, self.answer, key, flow, packet)
            attempt = packet.data.partition(b"Attempt-Id: ")[2].partition(b"\r")[0].decode()
            self.runs.append((attempt, time.monotonic()))
            self.system.record(f"host {self.id} of {self.service} runs {attempt}")
        elif packet.data and flow.last_answer:
            self.send(flow.last_answer)

    def answer(self, key, flow, packet):
        if self.has_ended or self.flows.get(key) is not flow:
            return
        data = b"HTTP/1.1 200 OK\r\nResponse-Signature: x\r\nContent-Length: 2\r\n\r\nok"
        flow.last_answer = Packet(flow.echo, flow.seq, flow.next, ACK, packet.src, packet.dst, data)
        flow.seq = (flow.seq + len(data)) & 0xFFFFFFFF
        self.send(flow.last_answer)


class Router:
    """The provider's routers: a hash of addresses and ports over the ready daemons (hash_scheme mod)."""

    def __init__(self, system, balancers):
        self.system, self.balancers = system, balancers
        self.misses = {it.name: 2 for it in balancers}

    async def probe_forever(self):
        while True:
            for it in self.balancers:
                status, _ = await http("GET", (it.address, self.system.ports["ready"]), "/readiness", timeout=0.4)
                self.misses[it.name] = 0 if status == 200 else self.misses[it.name] + 1
            await asyncio.sleep(0.5)

    def ready(self):
        return [it for it in self.balancers if self.misses[it.name] < 2]

    def pick(self, packet):
        ready = self.ready()
        choices = ready if 2 * len(ready) >= len(self.balancers) else self.balancers
        return choices[zlib.crc32(repr((packet.src, packet.dst)).encode()) % len(choices)]


class ClientFlow:
    def __init__(self, client, port, target):
        self.client, self.source, self.target = client, (client.address, port), target
        self.seq = random.getrandbits(32)
        self.echo = 0
        self.next = None  # next byte expected of the host
        self.changed = asyncio.Event()
        self.answered = self.is_taken = False
        self.end_of_data = None
        self.reset = None  # the accepted reset

    def send(self, flags, data=b"", ack=None):
        packet = Packet(self.echo, self.seq, (self.next or 0) if ack is None else ack, flags, self.target, self.source,
                        data)
        self.client.send(packet)

    def receive(self, packet):
        if packet.flags & RST:
            distance = (packet.seq - (self.next or 0)) & 0xFFFFFFFF
            if self.next is None or min(distance, (1 << 32) - distance) <= RESET_WINDOW:
                self.reset = packet
        else:
            self.echo = packet.echo
            self.is_taken = self.is_taken or packet.ack == self.end_of_data
            if packet.flags & SYN and self.next is None:
                self.next = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.send(ACK)
            elif packet.data and packet.seq == self.next:
                self.next = (self.next + len(packet.data)) & 0xFFFFFFFF
                self.answered = True
                self.send(ACK)
        self.changed.set()

    async def until(self, condition, waits, transmit):
        for number, wait in enumerate(waits):
            transmit(number)
            end = time.monotonic() + wait
            while not condition() and not self.reset and (left := end - time.monotonic()) > 0:
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            if condition() or self.reset:
                break
        return condition() and not self.reset

    async def open(self):
        return await self.until(lambda: self.next is not None, (0.2, 0.4, 0.8), lambda n: self.send(SYN, ack=n))

    async def request(self, attempt):
        data = f"GET / HTTP/1.1\r\nHost: x\r\nAttempt-Id: {attempt}\r\n\r\n".encode()
        self.answered = self.is_taken = False
        before = self.seq

        def transmit(_):
            # Data that the host has acknowledged is not sent again.
            if not self.is_taken:
                self.send(ACK, data)

        self.end_of_data = (before + len(data)) & 0xFFFFFFFF
        done = await self.until(lambda: self.answered, (0.2, 0.4, 0.8), transmit)
        if done:
            self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        return done

    def close(self):
        if self.next is not None and not self.reset:
            self.send(FIN | ACK)


class Client(asyncio.DatagramProtocol):
    def __init__(self, system, router, number):
        self.system, self.router = system, router
        self.address = f"{system.net}.4.{number}"
        self.flows = {}
        self.port = 1024

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.system.ports["packets"]))

    def send(self, packet):
        self.transport.sendto(packet.encode(), (self.router.pick(packet).address, self.system.ports["packets"]))

    def datagram_received(self, raw, _):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.dst, packet.src))
        if flow:
            flow.receive(packet)

    def new_flow(self, target):
        self.port += 1
        flow = ClientFlow(self, self.port, target)
        self.flows[(flow.source, flow.target)] = flow
        return flow
