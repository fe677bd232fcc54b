"""Starts a small deployment of ibisgw-platform on loopback addresses, as the deploy file says.

The settings are rendered from the templates of the deploy file with the fields of a small site. Each machine has a
loopback address of its own, and the ports are the same on all machines."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")

# Bounds and tolerance of the small sites.
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "connectivity_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4,
    "drain_timeout_ms": 3000, "grace_period_s": 6, "config_apply_ms": 3000, "recovery_s": 12, "reorder_window_ms": 2000,
    "max_flow_s": 60,
}
FAULT_TOLERANCE = {"machines": 1, "zones": 1, "regions": 0}
HEARTBEAT_SECONDS = 1.2
MAX_SECONDS = 110.0


def render(text, fields):
    """Renders the part of the template language that the templates in deploy/ use."""

    def lookup(scope, name):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match):
        value = lookup(fields, match[1])
        items = list(value.items()) if isinstance(value, dict) else list(enumerate(value or []))
        parts = []
        for n, (key, _) in enumerate(items):
            part = match[2].replace("{{@}}", str(key))
            parts.append(part.replace("{{,}}", "" if n == len(items) - 1 else ","))
        return "".join(parts)

    def value_of(match):
        value = lookup(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


class Machine:
    """One machine with one daemon. Signals go only to the process that was started here, by its process id."""

    def __init__(self, deployment, role, n):
        self.deployment, self.role = deployment, role
        self.settings_of_role = deployment.roles[role]
        self.name = f"{self.settings_of_role['on']}-{n + 1}"
        self.zone = ZONES[n % len(ZONES)]
        self.address = f"127.{deployment.block}.{2 if role == 'controller' else 1}.{n + 1}"
        self.folder = deployment.folder / self.name
        (self.folder / "data").mkdir(parents=True)
        self.process = None
        self.starts = 0

    def fields(self):
        """The platform's settings. `bootstrap` is true at the first start of the deployment only."""
        ports = self.deployment.ports
        front = self.settings_of_role["on"] == "frontend"
        addresses = {"datagram_address": "packets", "ready": "ready"} if front else {"control": "control"}
        return {
            "node_name": self.name, "ip": self.address, "zone": self.zone, "zones": {it: "region" for it in ZONES},
            "bind_addresses": {key: f"{self.address}:{ports[it]}" for key, it in addresses.items()},
            "internal_port_range": [ports["peer"], ports["peer"]],
            "seeds": [f"{it.address}:{ports['control']}" for it in self.deployment.controllers[:3]],
            "bootstrap": self.starts == 0, "limits": {"bandwidth_mbps": 1000.0},
            "data_directory": None if front else str(self.folder / "data"),
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000), "fault_tolerance": FAULT_TOLERANCE,
            "bounds": BOUNDS,
        }

    def start(self):
        template = (ROOT / self.settings_of_role["template"]).read_text()
        settings = self.folder / "settings"
        settings.write_text(render(template, self.fields()))
        self.starts += 1
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.settings_of_role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env=environment | {"IBISGW_SETTINGS": str(settings)})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()


def run_case(folder, run, **sizes):
    """Runs `run(deployment)` and returns its exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    All processes are ended and the temporary folder is removed, also after an error or SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment = Deployment(pathlib.Path(folder) / "record.txt", **sizes)
    try:
        return asyncio.run(asyncio.wait_for(run(deployment), MAX_SECONDS))
    except Exception:
        traceback.print_exc()
        deployment.record("the case couldn't run:\n" + traceback.format_exc())
        return 2
    finally:
        deployment.stop()
        deployment.record_file.close()


class Deployment:
    """Controllers and balancers, the record of what happened, and the folder of this run."""

    def __init__(self, record, controllers=3, balancers=3, block=None, seed=38):
        self.random = random.Random(seed)
        self.block = block or 100 + os.getpid() % 100  # all addresses are in 127.BLOCK.0.0/16
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ibisgw-review-"))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.ports = {}
        for it in ("peer", "packets", "ready", "control", "host"):
            self.ports[it] = self.free_port()
        self.began = time.monotonic()
        self.record_file = open(record, "w") if isinstance(record, pathlib.Path) else record
        self.controllers, self.balancers = [], []
        self.controllers += [Machine(self, "controller", n) for n in range(controllers)]
        self.balancers += [Machine(self, "balancer", n) for n in range(balancers)]

    def free_port(self):
        """A port that is free for TCP and UDP on a loopback address of this deployment, and was not chosen before."""
        address = f"127.{self.block}.255.254"
        while True:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((address, 0))
                port = tcp.getsockname()[1]
                try:
                    udp.bind((address, port))
                except OSError:
                    continue
                if port not in self.ports.values():
                    return port

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        print(f"{self.now():8.3f} {text}", file=self.record_file, flush=True)

    def control_addresses(self):
        addresses = [(it.address, self.ports["control"]) for it in self.controllers]
        self.random.shuffle(addresses)
        return addresses

    def stop(self):
        for it in self.controllers + self.balancers:
            it.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


async def http(method, address, path, body="", timeout=1.0, redirects=2, hops=None):
    """Returns (status, body), and follows 307 twice; status 0 if there is no answer in time.

    Adds the address of each daemon that was called to `hops`, if that is a list."""
    if hops is not None:
        hops.append(address[0])

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            raw = body.encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n".encode() + raw)
            return await reader.read(-1)
        finally:
            writer.close()

    try:
        head, _, text = (await asyncio.wait_for(exchange(), timeout)).partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        status = int(lines[0].split()[1])
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, ""
    location = next((it[10:].strip() for it in lines if it.lower().startswith("location:")), "")
    if status == 307 and redirects and location.startswith("http://"):
        host, _, rest = location[len("http://"):].partition("/")
        name, _, port = host.partition(":")
        return await http(method, (name, int(port)), "/" + rest, body, timeout, redirects - 1, hops)
    return status, text.decode()


def configuration(version, services, route_type="unsafe", timeout_ms=1500):
    """A complete configuration with a route for each service."""
    routes = [
        {"name": f"r-{it}", "hostname": f"127.198.18.{n + 1}", "path_prefix": "/8080/", "route_type": route_type,
         "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 1, "service": it, "max_attempts": 2}
        for n, it in enumerate(services)
    ]
    listed = [{"name": it, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": False}
              for it in services]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return json.dumps({"version": version, "routes": routes, "services": listed, "limits": limits})


async def replace_configuration(deployment, version, services, until, **properties):
    """The operator: sends the order again, unchanged, to any controller until it is acknowledged."""
    text = configuration(version, services, **properties)
    pause = 0.1
    while deployment.now() < until:
        for address in deployment.control_addresses():
            status, _ = await http("POST", address, "/Config.Replace", text)
            deployment.record(f"operator sent version {version} to {address[0]}: status {status}")
            if status == 200:
                return True
        await asyncio.sleep(pause)
        pause = min(2 * pause, 1.0)
    return False
