"""Stand-ins for hosts, clients and the routers in front of the balancers."""

import asyncio
import json
import socket
import struct
import time
import zlib

from deployment import HEARTBEAT_SECONDS, http

HEAD = struct.Struct("<IIIBBHIIHIH")
SYN, ACK, FIN, RST = 8, 32, 64, 1
MAX32 = 0xFFFFFFFF


def number_of(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def address_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, echo, seq, ack, flags, dst, src, data=b""):
        self.echo, self.seq, self.ack, self.flags = echo, seq & MAX32, ack & MAX32, flags
        self.dst, self.src, self.data = dst, src, data

    def encode(self):
        return HEAD.pack(self.echo, self.seq, self.ack, self.flags, 0, len(self.data), 0, number_of(self.dst[0]),
                         self.dst[1], number_of(self.src[0]), self.src[1]) + self.data

    @staticmethod
    def decode(raw):
        echo, seq, ack, flags, _, _, _, dst, dport, src, sport = HEAD.unpack_from(raw)
        return Packet(echo, seq, ack, flags, (address_of(dst), dport), (address_of(src), sport), raw[HEAD.size:])


class Host(asyncio.DatagramProtocol):
    """One host of a service: answers clients directly and sends heartbeats."""

    WORK_SECONDS = 0.02

    def __init__(self, deployment, service, zone, n):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.address = f"127.{deployment.block}.3.{n + 1}"
        self.id = "%08x" % deployment.random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.flows = {}
        self.heartbeat_address = None
        self.acknowledged = 0
        self.on_packet = self.on_open = None  # called for each packet of a client, and when a flow opens here

    async def start(self):
        loop = asyncio.get_running_loop()
        port = self.deployment.ports["host"]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, port))
        self.listener = await asyncio.start_server(self.answer_health, self.address, port)
        self.task = asyncio.create_task(self.beat_forever())
        self.deployment.record(f"host {self.id} of {self.service} starts at {self.address}:{port}, born {self.born}")

    async def answer_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: i-{self.id}\r\nContent-Length: 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    def stop(self):
        self.task.cancel()
        self.listener.close()
        self.transport.close()

    async def beat_forever(self):
        await asyncio.sleep(self.deployment.random.uniform(0, HEARTBEAT_SECONDS))
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self):
        """Calls one daemon after the other until one acknowledges."""
        addresses = ([self.heartbeat_address] if self.heartbeat_address else []) + self.deployment.control_addresses()
        for it in addresses:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.address}:{self.deployment.ports['host']}",
                    "zone": self.zone, "version": "v1", "max_concurrency": 2, "state": self.state,
                    "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
            status, text = await http("POST", it, f"/Instances.Heartbeat/i-{self.id}", json.dumps(body))
            if 200 <= status < 300:
                self.acknowledged += 1
                name = json.loads(text).get("heartbeat_address") if text else None
                if name:
                    self.heartbeat_address = (name.split(":")[0], int(name.split(":")[1]))
                return True
            self.heartbeat_address = None
        return False

    def datagram_received(self, data, addr):
        intended = int.from_bytes(data[:8], "big")
        if intended not in (0, int(self.id, 16)):
            return
        packet = Packet.decode(data[8:])
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if self.on_packet:
            self.on_packet(self, key, packet, addr[0])
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": self.deployment.random.getrandbits(32), "next": packet.seq + 1 & MAX32,
                                          "echo": packet.echo, "open": False, "sent": None}
            self.send(packet, SYN | ACK, flow["seq"], flow["next"], packet.echo)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None:
            self.send(packet, RST, packet.ack, packet.seq, packet.echo)
            return
        flow["echo"] = packet.echo
        if not flow["open"]:
            if packet.ack != (flow["seq"] + 1) & MAX32:
                return
            flow["open"], flow["seq"] = True, packet.ack
            if self.on_open:
                self.on_open(self, key)
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = packet.seq + len(packet.data) & MAX32
            request = packet.data.split(b"Attempt-Id: ")[1].split(b"\r\n")[0].decode()
            self.deployment.record(f"host {self.id} of {self.service} runs {request}")
            asyncio.get_running_loop().call_later(self.WORK_SECONDS, self.finish, packet, flow, request)
        elif packet.data and flow["sent"]:
            self.transport.sendto(*flow["sent"])
        if packet.flags & FIN:
            self.send(packet, ACK, flow["seq"], packet.seq + 1, packet.echo)
            del self.flows[key]

    def finish(self, packet, flow, request):
        body = f"done {request}".encode()
        data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        answer = Packet(flow["echo"], flow["seq"], flow["next"], ACK, packet.src, packet.dst, data)
        flow["sent"] = (answer.encode(), (packet.src[0], self.deployment.ports["packets"]))
        flow["seq"] = flow["seq"] + len(data) & MAX32
        self.transport.sendto(*flow["sent"])

    def send(self, packet, flags, seq, ack, echo):
        answer = Packet(echo, seq, ack, flags, packet.src, packet.dst)
        self.transport.sendto(answer.encode(), (packet.src[0], self.deployment.ports["packets"]))


class Router:
    """Selects the balancer of a packet by a hash over the balancers of a zone that are in rotation, as the platform does.

    Without a zone the balancers of all zones count as one."""

    def __init__(self, deployment, zone=None):
        self.deployment = deployment
        self.balancers = [it for it in deployment.balancers if zone in (None, it.zone)]
        self.misses = {it.name: 2 for it in self.balancers}

    async def run(self):
        while True:
            await asyncio.gather(*(self.check(it) for it in self.balancers))
            await asyncio.sleep(0.5)

    async def check(self, balancer):
        status, _ = await http("GET", (balancer.address, self.deployment.ports["ready"]), "/readiness", timeout=0.4)
        self.misses[balancer.name] = 0 if status == 200 else self.misses[balancer.name] + 1

    def pick(self, packet):
        ready = [it for it in self.balancers if self.misses[it.name] < 2]
        choices = ready if 2 * len(ready) >= len(self.balancers) else self.balancers
        return choices[zlib.crc32(repr((packet.src, packet.dst)).encode()) % len(choices)]


class Client(asyncio.DatagramProtocol):
    """One client address. Each request has a flow of its own, from a new port, or uses a long flow."""

    def __init__(self, deployment, router, n):
        self.deployment, self.router = deployment, router
        self.address = f"127.{deployment.block}.4.{n + 1}"
        self.port = 1024
        self.flows = {}
        self.served = self.sent = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.deployment.ports["packets"]))

    def datagram_received(self, data, addr):
        packet = Packet.decode(data)
        flow = self.flows.get((packet.dst, packet.src))
        if flow:
            flow.handle(packet)

    async def request(self, target, name):
        """Sends one request on a new flow; returns what became of it: served, refused, reset or no answer."""
        self.sent += 1
        self.port += 1
        flow = ClientFlow(self, (self.address, self.port), target)
        self.flows[(flow.source, target)] = flow
        result = await flow.run(name)
        flow.close()
        del self.flows[(flow.source, target)]
        self.served += result == "served"
        self.deployment.record(f"client {self.address} request {name} to {target[0]}: {result}")
        return result


class ClientFlow:
    def __init__(self, client, source, target):
        self.client, self.source, self.target = client, source, target
        self.seq = client.deployment.random.getrandbits(32)
        self.echo, self.peer = 0, None
        self.answer, self.is_reset = None, False
        self.event = asyncio.Event()

    def send(self, flags, data=b"", ack=0):
        packet = Packet(self.echo, self.seq, ack, flags, self.target, self.source, data)
        balancer = self.client.router.pick(packet)
        self.client.transport.sendto(packet.encode(), (balancer.address, self.client.deployment.ports["packets"]))

    def handle(self, packet):
        """Takes a packet of the flow. The echo of the last packet goes into the next ones, as the protocol says."""
        if not packet.flags & RST:
            self.echo = packet.echo
        if packet.flags & RST:
            distance = (packet.seq - (self.peer or 0) + 76800) & MAX32
            if self.peer is None or distance <= 2 * 76800:
                self.is_reset = True
        elif packet.flags & SYN and self.peer is None:
            self.peer = packet.seq + 1 & MAX32
        elif packet.data and packet.seq == self.peer:
            self.peer = packet.seq + len(packet.data) & MAX32
            self.answer = packet.data
        self.event.set()

    async def wait(self, is_done, intervals, transmit):
        for it in intervals:
            transmit()
            end = time.monotonic() + it
            while not is_done() and not self.is_reset and time.monotonic() < end:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            if is_done() or self.is_reset:
                break
        return is_done() and not self.is_reset

    async def open(self):
        copies = iter(range(3))
        opened = await self.wait(
            lambda: self.peer is not None, (0.2, 0.4, 0.8), lambda: self.send(SYN, ack=next(copies)))
        if opened:
            self.seq = self.seq + 1 & MAX32
            self.send(ACK, ack=self.peer)
        return opened

    async def ask(self, name, intervals=(0.2, 0.4, 0.8)):
        """Sends a request and repeats it at these intervals until the answer comes."""
        data = f"POST /x HTTP/1.1\r\nAttempt-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
        self.answer = None
        served = await self.wait(
            lambda: self.answer is not None, intervals, lambda: self.send(ACK, data, self.peer))
        self.seq = self.seq + len(data) & MAX32
        if served:
            self.send(ACK, ack=self.peer)
        return "served" if served else "reset" if self.is_reset else "no answer"

    async def run(self, name):
        if not await self.open():
            return "refused" if self.is_reset else "not opened"
        return await self.ask(name)

    def close(self):
        if self.peer is not None and not self.is_reset:
            self.send(FIN | ACK, ack=self.peer)
