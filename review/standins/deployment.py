"""Starts the programs of deploy/system.toml as processes on loopback addresses and calls their control API.

Each machine has a loopback address of its own. The ports are the same on all machines and were free on all of them when
the deployment was created. The settings are rendered from the templates in deploy/.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

REPOSITORY = next(it for it in pathlib.Path(__file__).resolve().parents if (it / "deploy/system.toml").is_file())

# Bounds of the site pondslot-gw.
BOUNDS = {
    "connectivity_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000,
    "grace_period_s": 6, "config_apply_ms": 3000, "regression_window_ms": 250, "recovery_s": 12,
    "reorder_window_ms": 2000, "max_flow_s": 60, "address_reuse_s": 2,
}
ZONES = ["ga-central-a", "ga-central-b", "ga-central-c"]
PORT_NAMES = ["peer", "control", "packets", "ready", "upstream", "metrics"]


def find_free_ports(addresses):
    """Returns one port for each name that no socket uses on any of the addresses."""
    while True:
        base = random.randrange(15000, 30000)
        ports = dict(zip(PORT_NAMES, range(base, base + len(PORT_NAMES))))
        try:
            for address in addresses:
                for port in ports.values():
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((address, port))
            return ports
        except OSError:
            continue


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.b|json}} of a settings template."""
    def value_of(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value_of, template)


class Machine:
    """A machine with one process of the deployment. Signals go only to the process started here."""

    def __init__(self, deployment, role, name, zone, address):
        self.deployment, self.role, self.name, self.zone, self.address = deployment, role, name, zone, address
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process = None
        self.is_first_start = True

    def settings(self):
        deployment = self.deployment
        ports = deployment.ports
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.address,
            "internal_port_range": [ports["peer"], ports["peer"]],
            "seeds": [f"{it}:{ports['control']}" for it in deployment.seeds],
            "bootstrap": self.is_first_start,
            "bind_addresses": {
                "datagram_address": f"{self.address}:{ports['packets']}",
                "ready": f"{self.address}:{ports['ready']}",
                "control": f"{self.address}:{ports['control']}",
            },
            "limits": {"bandwidth_mbps": 1000.0}, "bounds": BOUNDS, "heartbeat_interval_ms": 1200,
            "data_directory": str(self.data), "fault_tolerance": {"machines": 1},
        }
        text = render((REPOSITORY / self.role["template"]).read_text(), fields)
        # The metrics port is fixed in the template; another process on this machine may use it.
        return text.replace(":9464", f":{ports['metrics']}")

    def start(self):
        file = self.folder / "settings.json"
        file.write_text(self.settings())
        self.is_first_start = False
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(), cwd=REPOSITORY, stdout=log, stderr=subprocess.STDOUT,
                env={"IBISGW_SETTINGS": str(file), "PATH": os.environ["PATH"]})
        self.deployment.record(f"start {self.name}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)
            self.deployment.record(f"signal {signal.Signals(number).name} to {self.name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.data)
        self.deployment.record(f"{self.name} loses its disk")


class Deployment:
    def __init__(self, record_file, controllers=3, balancers=3, hosts=4, clients=2):
        self.started_at = time.monotonic()
        self.record_file = open(record_file, "w", encoding="utf-8")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ibisgw-review-"))
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        net = f"127.{random.randrange(1, 255)}"
        self.controller_addresses = [f"{net}.1.{n + 1}" for n in range(controllers)]
        self.balancer_addresses = [f"{net}.2.{n + 1}" for n in range(balancers)]
        self.host_addresses = [f"{net}.3.{n + 1}" for n in range(hosts)]
        self.client_addresses = [f"{net}.4.{n + 1}" for n in range(clients)]
        self.ports = find_free_ports(
            self.controller_addresses + self.balancer_addresses + self.host_addresses + self.client_addresses)
        self.seeds = self.controller_addresses[:3]
        self.controllers = [
            Machine(self, roles["controller"], f"core-{n + 1}", ZONES[n % 3], it)
            for n, it in enumerate(self.controller_addresses)]
        self.balancers = [
            Machine(self, roles["balancer"], f"frontend-{n + 1}", ZONES[n % 3], it)
            for n, it in enumerate(self.balancer_addresses)]
        self.machines = self.controllers + self.balancers  # also those that are taken out of the lists later
        self.parts = []  # other stand-ins, which are stopped with the deployment

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, text):
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def start(self):
        for it in self.controllers + self.balancers:
            it.start()

    def stop(self):
        for it in self.parts:
            it.stop()
        for it in self.machines:
            if it.is_running():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    def call(self, address, method, path, body=b"", timeout=1.0, redirects=2):
        """Calls the control API of one machine. Returns (status, body, address of the machine that answered); status 0
        without a clear answer."""
        try:
            connection = http.client.HTTPConnection(address, self.ports["control"], timeout=timeout)
            try:
                headers = {"Content-Type": "application/json"} if body else {}
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                status, text, location = response.status, response.read(), response.getheader("Location", "")
            finally:
                connection.close()
        except (OSError, http.client.HTTPException):
            return 0, b"", address
        if status == 307 and redirects > 0 and location.startswith("http://"):
            target = location[len("http://"):].split("/", 1)[0].split(":")[0]
            return self.call(target, method, path, body, timeout, redirects - 1)
        return status, text, address

    def send_order(self, method, path, body=b"", seconds=10.0, first=0):
        """Sends an order as the operator does: to one machine after the other until there is a clear answer. Returns
        (status, body, machine that answered)."""
        end = self.now() + seconds
        n = first
        while True:
            machine = self.controllers[n % len(self.controllers)]
            status, text, address = self.call(machine.address, method, path, body)
            answering = next(it for it in self.machines if it.address == address)
            self.record(f"operator: {method} {path} to {machine.name}: {status or 'no answer'}"
                        + (f" from {answering.name}" if status else ""))
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422) or self.now() > end:
                return status, text, answering
            n += 1
            time.sleep(min(0.1 * 1.5 ** (n - first), 1.0))

    def replace_configuration(self, configuration, seconds=10.0, first=0):
        """Returns the machine that acknowledged the configuration, or None."""
        self.record(f"operator: configuration version {configuration['version']}, routes "
                    + " ".join(it["name"] for it in configuration["routes"]))
        status, _, answering = self.send_order(
            "POST", "/Config.Replace", json.dumps(configuration).encode(), seconds, first)
        return answering if status == 200 else None

    def is_ready(self, balancer):
        try:
            connection = http.client.HTTPConnection(balancer.address, self.ports["ready"], timeout=0.5)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_until(self, condition, seconds):
        end = self.now() + seconds
        while not condition():
            if self.now() > end:
                return False
            time.sleep(0.05)
        return True


def route(name, address, port, service, kind="unsafe"):
    return {
        "name": name, "hostname": address, "path_prefix": f"/{port}/", "route_type": kind, "timeout_ms": 1500,
        "target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": 2,
    }


def configuration(version, routes, services):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": it, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": False}
            for it in services],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }
