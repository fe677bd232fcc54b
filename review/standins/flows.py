"""Hosts and clients that speak the packets of PROTOCOL.md."""

import json
import random
import socket
import struct
import threading
import time
import zlib

HEAD = struct.Struct("<IIIBBHIIHIH")
SYN, ACK, FIN, RST = 8, 32, 64, 1
ID_BYTES = 8
RECEIVE_TIMEOUT_S = 0.1
SYSTEM = "the system"


def pack_address(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def unpack_address(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    def __init__(self, flags, src, dst, seq=0, ack=0, echo=0, data=b"", checksum=None):
        self.flags, self.src, self.dst, self.data = flags, src, dst, data
        self.seq, self.ack, self.echo = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo
        self.checksum = checksum

    def expected_checksum(self):
        fields = HEAD.pack(0, self.seq, self.ack, self.flags, 0, len(self.data), 0, pack_address(self.dst[0]),
                           self.dst[1], pack_address(self.src[0]), self.src[1])
        return zlib.crc32(b"key of the stand-ins" + fields + self.data) | 1

    def encode(self):
        return HEAD.pack(
            self.echo, self.seq, self.ack, self.flags, 0, len(self.data), self.expected_checksum(),
            pack_address(self.dst[0]), self.dst[1], pack_address(self.src[0]), self.src[1]) + self.data

    @staticmethod
    def decode(raw):
        echo, seq, ack, flags, _, length, checksum, dst, dport, src, sport = HEAD.unpack_from(raw)
        data = raw[HEAD.size:]
        assert length == len(data)
        return Packet(flags, (unpack_address(src), sport), (unpack_address(dst), dport), seq, ack, echo, data, checksum)

    def is_reset_of_system(self):
        return self.flags == RST and self.checksum == 0


class Host:
    """One lifetime of a host: answers packets, accepts liveness checks and sends heartbeats."""

    def __init__(self, deployment, service, zone, address, host_id=None, work_s=0.02):
        self.deployment, self.service, self.zone, self.address, self.work_s = deployment, service, zone, address, work_s
        self.port = deployment.ports["upstream"]
        self.id = host_id or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_alive = True
        self.flows = {}
        self.accept_delay_s = 0.0  # time until a SYN is answered
        self.lock = threading.RLock()
        self.resets_unknown_flows = True
        self.opened = []  # (time, client, target) of each flow that a client opened here
        self.packets = []  # (time, client, target) of each packet that is no opening one
        self.opening_packets = []  # (time, client, target)
        self.executed = []
        self.last_beat = 0
        self.drain_acknowledged_at = None
        deployment.parts.append(self)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, self.port))
        self.socket.settimeout(RECEIVE_TIMEOUT_S)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, self.port))
        self.listener.listen(64)
        self.listener.settimeout(RECEIVE_TIMEOUT_S)
        self.threads = [threading.Thread(target=it, daemon=True)
                        for it in (self.receive_forever, self.accept_forever, self.beat_forever)]
        deployment.record(f"host {self.id} of {service} starts at {address}, born {self.born}")
        for it in self.threads:
            it.start()

    def stop(self):
        if not self.is_alive:
            return
        with self.lock:
            self.is_alive = False
        for it in self.threads:
            it.join()
        self.socket.close()
        self.listener.close()

    # Heartbeats

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
            "max_concurrency": 2, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self):
        """Sends one heartbeat: to one machine after the other until one acknowledges it."""
        machines = random.sample(self.deployment.controllers, len(self.deployment.controllers))
        for it in machines:
            state = self.state
            body = json.dumps(self.heartbeat()).encode()
            status, _, _ = self.deployment.call(it.address, "POST", f"/Instances.Heartbeat/{self.id}", body)
            if status == 200:
                self.last_beat = self.deployment.now()
                if state == "draining" and self.drain_acknowledged_at is None:
                    self.drain_acknowledged_at = self.deployment.now()
                    self.deployment.record(f"host {self.id}: {it.name} acknowledges state draining")
                return True
        return False

    def beat_forever(self):
        while self.is_alive:
            self.beat()
            next_beat = time.monotonic() + 1.2 * random.uniform(0.9, 1.1)
            while self.is_alive and time.monotonic() < next_beat:
                time.sleep(0.02)

    # Liveness checks

    def accept_forever(self):
        while self.is_alive:
            try:
                connection, _ = self.listener.accept()
            except TimeoutError:
                continue
            connection.close()

    # Packets

    def receive_forever(self):
        while self.is_alive:
            try:
                raw, _ = self.socket.recvfrom(65536)
            except TimeoutError:
                continue
            target = int.from_bytes(raw[:ID_BYTES], "big")
            if target in (0, int(self.id[2:], 16)):
                self.handle(Packet.decode(raw[ID_BYTES:]))

    def handle(self, packet):
        if packet.flags & SYN:
            self.opening_packets.append((self.deployment.now(), packet.src, packet.dst))
            if self.accept_delay_s:
                threading.Timer(self.accept_delay_s, self.accept_flow, [packet]).start()
            else:
                self.accept_flow(packet)
            return
        self.packets.append((self.deployment.now(), packet.src, packet.dst))
        with self.lock:
            self.handle_flow(packet)

    def accept_flow(self, packet):
        with self.lock:
            if not self.is_alive:
                return
            key = (packet.src, packet.dst)
            if key not in self.flows:
                self.flows[key] = {"seq": random.getrandbits(32), "next": packet.seq + 1, "is_open": False}
            flow = self.flows[key]
            flow["echo"] = packet.echo
            self.send(Packet(SYN | ACK, packet.dst, packet.src, flow["seq"], packet.seq + 1, packet.echo))

    def handle_flow(self, packet):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        # A flow whose client has acknowledged another host's SYN+ACK is not held here.
        is_of_other_host = flow and not flow["is_open"] and packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF
        if flow is None or is_of_other_host:
            if self.resets_unknown_flows and not packet.flags & RST:
                self.deployment.record(f"host {self.id} resets {packet.src}, whose flow it does not hold")
                self.send(Packet(RST, packet.dst, packet.src, packet.ack, 0, packet.echo))
            return
        flow["echo"] = packet.echo
        if not flow["is_open"]:
            flow["is_open"] = True
            flow["seq"] += 1
            self.opened.append((self.deployment.now(), packet.src, packet.dst))
            self.deployment.record(f"host {self.id} of {self.service}: flow {packet.src} > {packet.dst} opens")
        if packet.flags & RST:
            del self.flows[key]
        elif packet.flags & FIN:
            del self.flows[key]
            self.send(Packet(ACK | FIN, packet.dst, packet.src, flow["seq"], packet.seq + 1, packet.echo))
        elif packet.data and packet.seq == flow["next"] & 0xFFFFFFFF:
            flow["next"] = packet.seq + len(packet.data)
            flow["answer"] = None
            name = packet.data.split(b"Attempt-Id: ")[1].split(b"\r\n")[0].decode()
            self.executed.append(name)
            self.deployment.record(f"host {self.id} of {self.service} runs {name}")
            threading.Timer(self.work_s, self.answer, [key, flow, name]).start()
        elif packet.data and flow.get("answer"):
            self.send(flow["answer"])

    def answer(self, key, flow, name):
        with self.lock:
            if not self.is_alive:
                return
            source, target = key
            data = (f"HTTP/1.1 200 OK\r\nResponse-Signature: {self.id}\r\nContent-Length: {len(name)}\r\n\r\n"
                    f"{name}").encode()
            flow["answer"] = Packet(ACK, target, source, flow["seq"], flow["next"], flow["echo"], data)
            flow["seq"] += len(data)
            self.send(flow["answer"])

    def send(self, packet):
        self.socket.sendto(packet.encode(), (packet.dst[0], self.deployment.ports["packets"]))


class ClientFlow:
    def __init__(self, client, port, target):
        self.client, self.target = client, target
        self.source = (client.address, port)
        self.seq = random.getrandbits(32)
        self.echo = 0
        self.next = None  # next sequence number of the host; None until its SYN+ACK
        self.answers = []
        self.reset_at = None
        self.reset_by = None  # SYSTEM or the address of a host
        self.changed = threading.Condition()


class Router:
    """Selects the balancer of a packet: a hash of its addresses over the balancers in rotation."""

    def __init__(self, deployment, balancers):
        self.deployment, self.balancers = deployment, balancers
        self.in_rotation = list(balancers)

    def check(self):
        """Checks the readiness of all balancers once."""
        before = [it.name for it in self.in_rotation]
        self.in_rotation = [it for it in self.balancers if self.deployment.is_ready(it)]
        after = [it.name for it in self.in_rotation]
        if after != before:
            self.deployment.record(f"in rotation: {' '.join(after)}")

    def select(self, flow):
        return self.select_from(self.in_rotation, flow.source, flow.target)

    @staticmethod
    def select_from(balancers, source, target):
        return balancers[zlib.crc32(repr((source, target)).encode()) % len(balancers)]


class Client:
    """One client address. Sends each packet to the balancer that the caller names, or that the router selects."""

    def __init__(self, deployment, address):
        self.deployment, self.address = deployment, address
        self.flows = {}
        self.next_port = random.randrange(30000, 50000)
        self.lock = threading.Lock()
        self.is_alive = True
        deployment.parts.append(self)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, deployment.ports["packets"]))
        self.socket.settimeout(RECEIVE_TIMEOUT_S)
        self.thread = threading.Thread(target=self.receive_forever, daemon=True)
        self.thread.start()

    def stop(self):
        self.is_alive = False
        self.thread.join()
        self.socket.close()

    def receive_forever(self):
        while self.is_alive:
            try:
                raw, sender = self.socket.recvfrom(65536)
            except TimeoutError:
                continue
            packet = Packet.decode(raw)
            flow = self.flows.get((packet.dst, packet.src))
            if flow:
                self.handle(flow, packet, sender[0])

    def handle(self, flow, packet, sender):
        with flow.changed:
            if packet.flags & RST:
                if flow.reset_at is None:
                    flow.reset_at = self.deployment.now()
                    flow.reset_by = SYSTEM if packet.is_reset_of_system() else sender
                    self.deployment.record(f"client {flow.source}: {flow.reset_by} resets the flow")
            else:
                flow.echo = packet.echo
                if packet.flags & SYN and flow.next is None:
                    flow.next = packet.seq + 1
                    flow.seq += 1
                elif packet.data and packet.seq == flow.next & 0xFFFFFFFF:
                    flow.next = packet.seq + len(packet.data)
                    flow.answers.append(packet.data)
            flow.changed.notify_all()

    def send(self, flow, route, flags, data=b"", copy=0):
        """Sends one packet; `route` is a balancer or a router."""
        balancer = route.select(flow) if isinstance(route, Router) else route
        ack = copy if flags == SYN else flow.next
        packet = Packet(flags, flow.source, flow.target, flow.seq, ack, flow.echo, data)
        self.socket.sendto(packet.encode(), (balancer.address, self.deployment.ports["packets"]))

    def wait(self, flow, condition, seconds):
        end = time.monotonic() + seconds
        with flow.changed:
            while not condition() and flow.reset_at is None:
                rest = end - time.monotonic()
                if rest <= 0:
                    return False
                flow.changed.wait(rest)
        return condition()

    def open(self, route, target, port=None):
        """Opens a flow with up to three copies of the opening packet. Returns the flow; next is None if it failed."""
        with self.lock:
            if port is None:
                self.next_port += 1
                port = self.next_port
            flow = ClientFlow(self, port, target)
            self.flows[(flow.source, flow.target)] = flow
        for copy, seconds in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, route, SYN, copy=copy)
            if self.wait(flow, lambda: flow.next is not None, seconds) or flow.reset_at is not None:
                break
        if flow.next is not None:
            self.send(flow, route, ACK)
        return flow

    def request(self, flow, route, name, seconds=1.5):
        """Sends a request on an open flow, with retransmissions. True if it was answered."""
        data = f"POST / HTTP/1.1\r\nAttempt-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
        count = len(flow.answers)
        end = time.monotonic() + seconds
        interval = 0.2
        while time.monotonic() < end and flow.reset_at is None:
            self.send(flow, route, ACK, data)
            if self.wait(flow, lambda: len(flow.answers) > count, min(interval, end - time.monotonic())):
                break
            interval *= 2
        flow.seq += len(data)
        is_answered = len(flow.answers) > count
        if is_answered:
            assert name.encode() in flow.answers[-1]
            self.send(flow, route, ACK)
        return is_answered

    def single_request(self, route, target, name, seconds=1.5, port=None):
        """Opens a flow, sends one request and closes the flow. Returns "answered", "reset" or "no answer"."""
        flow = self.open(route, target, port)
        is_answered = flow.next is not None and self.request(flow, route, name, seconds)
        if flow.next is not None and flow.reset_at is None:
            self.send(flow, route, FIN | ACK)
        result = "answered" if is_answered else "reset" if flow.reset_at is not None else "no answer"
        self.deployment.record(f"client {flow.source}: {name} to {target[0]}:{target[1]}: {result}")
        return result
