"""Simulated upstreams: they answer callers directly, send heartbeats, and record the requests that they ran."""

import asyncio
import json
import random as random_module

from http_client import call
from wire import ACK, FIN, INSTANCE_BYTES, RST, SYN, Packet


class Flow:
    """The upstream's end of one flow."""

    def __init__(self, seq, peer_seq, token):
        self.seq, self.next, self.token = seq, peer_seq + 1, token
        self.is_open = False
        self.answer = None
        self.is_running = False
        self.opened_at = None


class Upstream(asyncio.DatagramProtocol):
    """One instance of a service: runs requests, reports its state to the controllers, and can drain or crash."""

    SERVICE_SECONDS = 0.015

    def __init__(self, system, service, zone, address, clock_offset_ms):
        self.system, self.service, self.zone, self.address = system, service, zone, address
        self.random = random_module.Random(system.random.random())
        self.id = "%012x" % self.random.getrandbits(48)
        self.born_ms = system.wall_ms() + clock_offset_ms
        self.sequence = 0
        self.state = "ready"
        self.is_alive = True
        self.drain_acknowledged_at = None
        self.crashed_at = None
        self.flows = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        port = self.system.ports["upstream"]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, port))
        self.listener = await asyncio.start_server(lambda reader, writer: writer.close(), self.address, port)
        self.task = asyncio.create_task(self.report_forever())

    def stop(self):
        self.is_alive = False
        self.crashed_at = self.system.now()
        self.task.cancel()
        self.listener.close()
        self.transport.close()

    async def report_forever(self):
        while True:
            await self.report()
            await asyncio.sleep(0.5 * self.random.uniform(0.8, 1.2))

    async def report(self):
        self.sequence += 1
        body = {
            "service": self.service, "address": f"{self.address}:{self.system.ports['upstream']}", "zone": self.zone,
            "version": "v1", "max_concurrency": 2, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born_ms,
        }
        state = self.state
        for it in self.system.shuffled_controllers(self.random):
            status, _ = await call("POST", it, f"/Instances.Heartbeat/i-{self.id}", json.dumps(body), 1.0)
            if status == 200:
                if state == "draining" and self.drain_acknowledged_at is None:
                    self.drain_acknowledged_at = self.system.now()
                return

    async def drain_and_deregister(self):
        """A planned stop: reports draining, serves open flows for a while, deregisters and stops."""
        self.state = "draining"
        for _ in range(20):
            await self.report()
            if self.drain_acknowledged_at:
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(self.system.DRAIN_SECONDS + 0.5)
        for it in self.system.shuffled_controllers(self.random):
            body = json.dumps({"born": self.born_ms})
            if (await call("POST", it, f"/Instances.Deregister/i-{self.id}", body, 1.0))[0] == 200:
                break
        self.stop()

    def datagram_received(self, data, addr):
        if not self.is_alive:
            return
        target_id = int.from_bytes(data[:INSTANCE_BYTES], "big")
        packet = Packet.decode(data[INSTANCE_BYTES:])
        if packet is None:
            self.system.checks.fail("unasked", "an upstream received a malformed packet")
        elif target_id in (0, int(self.id, 16)):
            self.handle(packet, addr[0])

    def handle(self, packet, sender):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.system.checks.opening_packet(self, sender)
            if flow is None or flow.is_open:
                flow = self.flows[key] = Flow(self.random.getrandbits(32), packet.seq, packet.echo)
            self.reply(packet, flow, SYN | ACK, flow.seq, packet.seq + 1)
            return
        if flow is None or (packet.ack - flow.seq - 1) & 0xFFFFFFFF > 1 << 20:
            if not packet.flags & RST:
                self.send(Packet(packet.echo, packet.ack, 0, RST, packet.src, packet.dst))
            return
        if not flow.is_open:
            flow.is_open = True
            flow.opened_at = self.system.now()
            self.system.checks.flow_opened(self, key)
        if packet.flags & FIN:
            del self.flows[key]
            self.system.checks.flow_closed(key)
            return
        if not packet.data:
            return
        if packet.seq == flow.next and not flow.is_running:
            flow.is_running = True
            flow.next = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            self.system.checks.request_executed(self, packet)
            asyncio.get_running_loop().call_later(self.SERVICE_SECONDS, self.finish_request, key, flow, packet)
        elif flow.answer and packet.seq != flow.next:
            self.send(flow.answer)

    def finish_request(self, key, flow, packet):
        if not self.is_alive or self.flows.get(key) is not flow:
            return
        flow.is_running = False
        data = b"answer " + packet.data
        flow.answer = Packet(flow.token, (packet.ack) & 0xFFFFFFFF, flow.next, ACK, packet.src, packet.dst, data)
        self.send(flow.answer)

    def reply(self, packet, flow, flags, seq, ack):
        self.send(Packet(packet.echo, seq, ack, flags, packet.src, packet.dst))

    def send(self, packet):
        # Direct server return: the answer goes to the caller, with the service address as its source.
        self.transport.sendto(packet.encode(), (packet.dst[0], self.system.ports["packets"]))
