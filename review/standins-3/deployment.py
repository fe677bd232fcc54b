"""A small deployment on loopback: the project's balancers and controllers as processes, with stand-ins for the platform,
the hosts and the clients. The stand-ins follow PROTOCOL.md; each class says which passage it implements."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

PROGRAM = "target/bin/ibisgw-platform"
HEAD = struct.Struct("<IIIBBHIIHIH")
SYN, ACK, FIN, RST = 8, 32, 64, 1
# Bounds of the small site files.
HEARTBEAT_SECONDS = 0.77
# One way between clients and the provider ("3 ms to clients").
CLIENT_LINK_SECONDS = 0.003
DRAIN_SECONDS = 3.0
TOUCH_SECONDS = 4.0
APPLY_SECONDS = 3.0


def pack(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def unpack(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    def __init__(self, echo, seq, ack, flags, dst, src, data=b""):
        self.echo, self.seq, self.ack, self.flags = echo, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags
        self.dst, self.src, self.data = dst, src, data

    def encode(self):
        return HEAD.pack(self.echo, self.seq, self.ack, self.flags, 0, len(self.data), 0, pack(self.dst[0]),
                         self.dst[1], pack(self.src[0]), self.src[1]) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        echo, seq, ack, flags, _, length, _, dst, dport, src, sport = HEAD.unpack_from(raw)
        data = raw[HEAD.size:]
        return Packet(echo, seq, ack, flags, (unpack(dst), dport), (unpack(src), sport), data) \
            if length == len(data) else None


async def http(method, address, path, body="", timeout=1.0, redirects=2):
    """Status and body of a call; follows 307 as callers of `control` do. Status 0: no clear response."""
    try:
        status, headers, text = await asyncio.wait_for(_exchange(method, address, path, body), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError, UnicodeDecodeError):
        return 0, ""
    location = headers.get("location", "")
    if status == 307 and redirects > 0 and location.startswith("http://"):
        host, _, target = location[7:].partition("/")
        name, _, port = host.partition(":")
        return await http(method, (name, int(port)), "/" + target, body, timeout, redirects - 1)
    return status, text


async def _exchange(method, address, path, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        raw = body.encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n".encode() + raw)
        data = await reader.read(-1)
    finally:
        writer.close()
    head, _, text = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in lines[1:])}
    return int(lines[0].split()[1]), headers, text.decode()


class Daemon:
    """One process of the deploy file, with settings as its template renders them."""

    def __init__(self, deployment, role, name, zone, address):
        self.deployment, self.role, self.name, self.zone, self.address = deployment, role, name, zone, address
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(self.folder)
        self.data = os.path.join(self.folder, "data")
        self.settings = os.path.join(self.folder, "settings.json")
        self.process = None
        self.starts = 0

    def write_settings(self):
        d, ports = self.deployment, self.deployment.ports
        settings = {
            "name": self.name, "zone": self.zone, "peer": f"{self.address}:{ports['peer']}",
            "seeds": [f"{it}:{ports['control']}" for it in d.seeds], "metrics": f"{self.address}:{ports['metrics']}",
            "report_interval_ms": int(HEARTBEAT_SECONDS * 1000), "grace_period_ms": 6000,
        }
        if self.role == "balancer":
            settings |= {"packets": f"{self.address}:{ports['packets']}",
                         "readiness": f"{self.address}:{ports['ready']}", "link_mbps": 1000.0,
                         "max_flow_age_ms": 60000}
        else:
            settings |= {"control": f"{self.address}:{ports['control']}", "data_folder": self.data,
                         "zones": d.zones, "first_start": self.starts == 0, "tolerated_disk_losses": 1}
        if d.gateway:
            settings["peer_gateway"] = "%s:%d" % d.gateway.address
        with open(self.settings + ".new", "w") as out:
            json.dump(settings, out)
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        self.write_settings()
        self.starts += 1
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen([PROGRAM, self.role], stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "IBISGW_SETTINGS": self.settings})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def kill(self):
        if self.is_running():
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()


class Gateway(asyncio.DatagramProtocol):
    """The network between the daemons: each sends its datagrams here, with their source and target, if its settings
    name this gateway. Drops those between the pairs of addresses in `cuts`; hosts then drop theirs, too."""

    def __init__(self, address):
        self.address = address
        self.cuts = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def is_cut(self, one, other):
        return (one, other) in self.cuts or (other, one) in self.cuts

    def datagram_received(self, data, addr):
        source, target = socket.inet_ntoa(data[:4]), socket.inet_ntoa(data[6:10])
        if not self.is_cut(source, target):
            self.transport.sendto(data, (target, int.from_bytes(data[10:12], "big")))


class Deployment:
    """Processes, ports, the operator and the routers of the platform."""

    def __init__(self, zones=("za", "zb", "zc")):
        self.zones = list(zones)
        self.random = random.Random()
        self.block = f"127.{self.random.randrange(2, 250)}.{self.random.randrange(2, 250)}"
        self.folder = tempfile.mkdtemp(prefix="ibisgw-review-")
        self.ports = self.free_ports(("peer", "packets", "ready", "control", "metrics", "host"))
        self.controllers, self.balancers, self.hosts = [], [], []
        self.seeds = []
        self.gateway = None
        self.began = time.monotonic()
        self.record = []
        self.misses = {}
        self.summary = ""

    def free_ports(self, names):
        sockets = {}
        for it in names:
            sockets[it] = socket.socket()
            sockets[it].bind((f"{self.block}.254", 0))
        ports = {name: it.getsockname()[1] for name, it in sockets.items()}
        for it in sockets.values():
            it.close()
        return ports

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.append(f"{self.now():8.3f} {text}")

    def conclude(self, text):
        """Notes the result of the case, which the script also prints."""
        self.summary = text
        self.note(text)

    def write_record(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as out:
            out.write("\n".join(self.record) + "\n")

    def add_daemons(self, controllers, balancers):
        """Zones of the controllers and of the balancers, one entry for each."""
        for n, zone in enumerate(controllers):
            self.controllers.append(Daemon(self, "controller", f"core-{n + 1}", zone, f"{self.block}.{10 + n}"))
        for n, zone in enumerate(balancers):
            self.balancers.append(Daemon(self, "balancer", f"front-{n + 1}", zone, f"{self.block}.{30 + n}"))
        self.seeds = [it.address for it in self.controllers][:3]

    def start_daemons(self):
        for it in self.controllers + self.balancers:
            it.start()

    def stop(self):
        for it in self.controllers + self.balancers:
            it.kill()
        for it in self.hosts:
            it.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def control(self, daemon):
        return daemon.address, self.ports["control"]

    def shuffled_controls(self):
        nodes = [self.control(it) for it in self.controllers]
        self.random.shuffle(nodes)
        return nodes

    async def order(self, method, path, body="", seconds=15.0):
        """An order of the operator: sent unchanged to any daemon until it gets a clear response."""
        end = self.now() + seconds
        pause = 0.05
        while self.now() < end:
            for it in self.shuffled_controls():
                status, text = await http(method, it, path, body)
                self.note(f"operator {method} {path} {len(body)} bytes to {it[0]}: {status}")
                if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                    return status, text
            await asyncio.sleep(pause)
            pause = min(1.0, 2 * pause)
        return 0, ""

    async def probe_readiness(self):
        """Routers: GET /readiness twice a second; out of rotation after two misses, back with a 200."""
        async def check(it):
            status, _ = await http("GET", (it.address, self.ports["ready"]), "/readiness", "", 0.4)
            before = self.in_rotation()
            self.misses[it.name] = 0 if status == 200 else self.misses.get(it.name, 0) + 1
            after = self.in_rotation()
            if before != after:
                self.note(f"routers use {[one.name for one in after]}")
        while True:
            await asyncio.gather(*(check(it) for it in self.balancers))
            await asyncio.sleep(0.5)

    def in_rotation(self):
        ready = [it for it in self.balancers if self.misses.get(it.name, 2) < 2]
        return ready if 2 * len(ready) >= len(self.balancers) else list(self.balancers)

    def pick(self, src, dst):
        """hash_scheme mod: a hash of the four addresses and ports over the daemons in rotation."""
        nodes = self.in_rotation()
        return nodes[hash((pack(src[0]), src[1], pack(dst[0]), dst[1])) % len(nodes)]

    async def wait_ready(self, seconds=20.0):
        end = self.now() + seconds
        while self.now() < end:
            if all(self.misses.get(it.name, 2) == 0 for it in self.balancers):
                return True
            await asyncio.sleep(0.1)
        return False


class HostFlow:
    def __init__(self, seq, peer_seq, echo):
        self.seq, self.next, self.echo = seq, peer_seq + 1, echo
        self.is_open = False
        self.answer = None


class Host(asyncio.DatagramProtocol):
    """A host (Hosts, Service discovery). One request is one packet here."""

    def __init__(self, deployment, service, zone, address, work=0.02):
        self.deployment, self.service, self.zone, self.address, self.work = deployment, service, zone, address, work
        self.number = deployment.random.getrandbits(48) | 1
        self.id = f"i-{self.number:012x}"
        self.state = "ready"
        self.flows = {}
        self.on_open = lambda host, key: None
        self.on_run = lambda host, name, key: None
        self.on_reset = lambda host, key: None
        # Whether the network loses the packet that this host sends.
        self.loses = lambda host, packet: False
        self.is_alive = False

    async def start(self):
        loop = asyncio.get_running_loop()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_alive = True
        self.flows = {}
        port = self.deployment.ports["host"]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, port))
        self.listener = await asyncio.start_server(self.serve_health, self.address, port)
        self.beats = asyncio.create_task(self.beat_forever())

    def is_cut_off_from(self, address):
        gateway = self.deployment.gateway
        return gateway is not None and gateway.is_cut(self.address, address)

    async def serve_health(self, reader, writer):
        try:
            if await reader.readline() and not self.is_cut_off_from(writer.get_extra_info("peername")[0]):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def stop(self):
        if not self.is_alive:
            return
        self.is_alive = False
        self.beats.cancel()
        self.listener.close()
        self.transport.close()

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self):
        for it in self.deployment.shuffled_controls():
            if self.is_cut_off_from(it[0]):
                # No response within a second.
                await asyncio.sleep(1.0)
                continue
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.address}:{self.deployment.ports['host']}",
                    "zone": self.zone, "version": "v1", "max_concurrency": 2, "state": self.state,
                    "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
            status, _ = await http("POST", it, f"/Instances.Heartbeat/{self.id}", json.dumps(body))
            if status == 200:
                return True
        return False

    def send(self, packet):
        if self.loses(self, packet):
            self.deployment.note(f"lost: a packet of host {self.id} with flags {packet.flags}")
            return
        # The host responds to the client directly.
        self.transport.sendto(packet.encode(), (packet.dst[0], self.deployment.ports["packets"]))

    def datagram_received(self, data, addr):
        if self.is_cut_off_from(addr[0]):
            return
        packet = Packet.decode(data[8:])
        intended = int.from_bytes(data[:8], "big")
        if packet is None or not self.is_alive or intended not in (0, self.number):
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = HostFlow(self.deployment.random.getrandbits(32), packet.seq, packet.echo)
                self.deployment.note(f"{self.id} takes SYN of {key[0]} from {addr[0]}")
                asyncio.get_running_loop().create_task(self.send_syn_ack(key, flow))
            return
        if flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) & 0xFFFFFFFF):
            # A packet of a flow that it does not hold.
            if not packet.flags & RST:
                self.deployment.note(f"{self.id} does not hold {key[0]}: RST (packet from {addr[0]})")
                self.on_reset(self, key)
                self.send(Packet(packet.echo, packet.ack, 0, RST, packet.src, packet.dst))
            return
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            self.on_open(self, key)
        if packet.flags & (FIN | RST):
            self.flows.pop(key)
            return
        if not packet.data:
            return
        if packet.seq == flow.next:
            flow.next = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            name = packet.data.split(b"Attempt-Id: ")[-1].split(b"\r\n")[0].decode()
            self.on_run(self, name, key)
            asyncio.get_running_loop().call_later(self.work, self.answer, key, flow, packet)
        elif flow.answer:
            self.send(flow.answer)

    async def send_syn_ack(self, key, flow):
        """Missing packets are retransmitted after 200 ms; the interval doubles up to 1.6 s; it gives up after 8."""
        interval = 0.2
        for _ in range(9):
            if flow.is_open or self.flows.get(key) is not flow or not self.is_alive:
                return
            self.send(Packet(flow.echo, flow.seq, flow.next, SYN | ACK, key[0], key[1]))
            await asyncio.sleep(interval)
            interval = min(1.6, 2 * interval)
        if not flow.is_open and self.flows.get(key) is flow:
            self.flows.pop(key)

    def answer(self, key, flow, packet):
        if not self.is_alive or self.flows.get(key) is not flow:
            return
        flow.answer = Packet(flow.echo, packet.ack, flow.next, ACK, key[0], key[1], b"answer " + packet.data)
        self.send(flow.answer)


class ClientFlow:
    """The client's end of a flow (Packets, Flows): the last echo received goes into its own packets."""

    def __init__(self, client, src, dst):
        self.client, self.src, self.dst = client, src, dst
        self.seq = client.deployment.random.getrandbits(32)
        self.echo = 0
        self.peer_next = None
        self.answer = None
        self.is_reset = False
        self.wake = asyncio.Event()

    def send(self, flags, data=b"", ack=None):
        d = self.client.deployment
        packet = Packet(self.echo, self.seq, (self.peer_next or 0) if ack is None else ack, flags, self.dst, self.src,
                        data)
        balancer = d.pick(self.src, self.dst)
        self.through = balancer
        self.client.transmit(packet.encode(), (balancer.address, d.ports["packets"]))

    def handle(self, packet):
        if packet.flags & RST:
            self.is_reset = True
            self.client.on_reset(self, packet)
            self.wake.set()
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.peer_next is None:
                self.peer_next = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.send(ACK)
        elif packet.data and packet.seq == self.peer_next:
            self.peer_next = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            self.answer = packet.data
            self.send(ACK)
        self.wake.set()

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition() and not self.is_reset and time.monotonic() < end:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        return condition()

    async def open(self):
        """A SYN, copies after 200 ms and 600 ms (`ack` counts them), the end after 1.4 s."""
        for copy, seconds in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, ack=copy)
            if await self.until(lambda: self.peer_next is not None, seconds) or self.is_reset:
                break
        return self.peer_next is not None and not self.is_reset

    async def request(self, name, deadline=1.5):
        data = f"POST / HTTP/1.1\r\nAttempt-Id: {name}\r\n\r\n".encode()
        self.answer = None
        interval = 0.2
        end = time.monotonic() + deadline
        while time.monotonic() < end and not self.is_reset and self.answer is None:
            self.send(ACK, data)
            await self.until(lambda: self.answer is not None, min(interval, end - time.monotonic()))
            interval = min(1.6, 2 * interval)
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        return self.answer is not None and self.answer.endswith(data)


class Client(asyncio.DatagramProtocol):
    """One client machine; each flow has a new port."""

    def __init__(self, deployment, address):
        self.deployment, self.address = deployment, address
        self.flows = {}
        self.port = 20000
        self.on_reset = lambda flow, packet: None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.deployment.ports["packets"]))

    def new_flow(self, dst):
        self.port += 1
        flow = ClientFlow(self, (self.address, self.port), dst)
        self.flows[flow.src, flow.dst] = flow
        return flow

    def transmit(self, raw, target):
        asyncio.get_running_loop().call_later(CLIENT_LINK_SECONDS, self.transport.sendto, raw, target)

    def datagram_received(self, data, addr):
        asyncio.get_running_loop().call_later(CLIENT_LINK_SECONDS, self.deliver, data)

    def deliver(self, data):
        packet = Packet.decode(data)
        flow = packet and self.flows.get((packet.dst, packet.src))
        if flow:
            flow.handle(packet)


def configuration(version, routes, services, idle_timeout_ms=15000):
    """`routes`: list of (name, address, port, kind, service)."""
    return json.dumps({
        "version": version,
        "routes": [{"name": name, "hostname": address, "path_prefix": f"/{port}/", "route_type": kind,
                    "timeout_ms": 1500, "target_latency_ms": 150, "priority": 1, "service": service,
                    "max_attempts": 2} for name, address, port, kind, service in routes],
        "services": [{"name": it, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1",
                      "tls": False} for it in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms}})


def run_case(case, folder, make_deployment):
    """Runs a case with a fresh deployment, writes record.txt and exits with the status of the case; 2 if it fails."""
    deployment = make_deployment()

    async def run():
        try:
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            deployment.stop()

    try:
        status = asyncio.run(run())
    except Exception as error:  # The case could not run: a stand-in failed, or an address is in use.
        deployment.note(f"the case could not run: {error!r}")
        status = 2
    deployment.write_record(folder)
    print(f"{deployment.summary or deployment.record[-1:]} - exit {status}")
    raise SystemExit(status)
