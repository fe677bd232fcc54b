"""Runs the project's programs as separate processes on loopback, with the commands and templates of the deploy file,
and sends them calls as hosts and operators do (PROTOCOL.md). Python's standard library only."""

import http.client
import json
import os
import pathlib
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
CATCH_UP_S = 4  # bounds of a small deployment, as on the pages
CONNECTIVITY_WINDOW_S = 4
RECOVERY_S = 12
HEARTBEAT_MS = 1200
ROLES = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes the record: what was sent, answered and run, with seconds since the start."""

    def __init__(self, file):
        self.file = open(file, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


def lookup(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields.get(name)
    return fields


def render(template, fields):
    """Fills the placeholders {{a}}, {{a.b}}, {{a.0}} and {{a|json}} of a settings template (DEPLOY.md)."""

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(fields, path)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


class Machine:
    """A machine with one program of the deploy file. Signals go only to the process that was started here."""

    def __init__(self, system, role, number, zone):
        self.system, self.role, self.zone = system, role, zone
        self.name = f"{ROLES[role]['on']}-{zone}-{number}"
        self.address = f"{system.net}.{1 if role == 'controller' else 2}.{number}"
        self.data = system.folder / self.name / "data"
        self.settings = system.folder / self.name / "settings.json"
        self.data.mkdir(parents=True)
        self.process = None
        self.is_first_start = True

    def start(self, seeds, bootstrap=False):
        ports = self.system.ports
        fields = {
            "node_name": self.name, "ip": self.address, "zone": self.zone,
            "bind_addresses": {
                "control": f"{self.address}:{ports['control']}", "ready": f"{self.address}:{ports['ready']}",
                "datagram_address": f"{self.address}:{ports['packets']}",
            },
            "internal_port_range": [ports["peer"], ports["peer"]],
            "seeds": [f"{it.address}:{ports['control']}" for it in seeds],
            "bootstrap": bootstrap, "data_directory": str(self.data), "heartbeat_interval_ms": HEARTBEAT_MS,
            "limits": {"bandwidth_mbps": 1000.0}, "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"grace_period_s": 6, "max_flow_s": 60},
        }
        self.settings.write_text(render((ROOT / ROLES[self.role]["template"]).read_text(), fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.system.folder / self.name / "log", "ab") as log:
            self.process = subprocess.Popen(ROLES[self.role]["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                                            env={**environment, "IBISGW_SETTINGS": str(self.settings)})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def stop(self, seconds=6):
        """Stops the process as the provider does: SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def lose_disk(self):
        shutil.rmtree(self.data)
        self.data.mkdir()

    def call(self, method, path, body=b"", timeout=1.0):
        """Returns (status, text); status 0 without a response. A caller waits a second (PROTOCOL.md)."""
        return call(method, (self.address, self.system.ports["control"]), path, body, timeout)


def call(method, address, path, body=b"", timeout=1.0, redirects=2):
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers={"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()
    location = response.getheader("Location")
    if response.status == 307 and location and redirects:
        host, _, target = location.removeprefix("http://").partition("/")
        name, _, port = host.partition(":")
        return call(method, (name, int(port)), "/" + target, body, timeout, redirects - 1)
    return response.status, text


def is_free(address, port):
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((address, port))
            udp.bind((address, port))
        except OSError:
            return False
    return True


class System:
    """Controllers and balancers of a small deployment: three zones, one controller in each."""

    def __init__(self, record_file):
        self.record = Record(record_file)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ibisgw-review-"))
        # From the process id, so that runs at the same time do not meet.
        self.net = f"127.{50 + os.getpid() % 200}"
        self.ports = dict(zip(("control", "ready", "packets", "peer", "host"), self.free_ports(5)))
        self.machines = []
        program = ROOT / ROLES["controller"]["run"].split()[0]
        if not program.exists():
            raise CannotRun(f"{program.relative_to(ROOT)} is missing; run the build of the deploy file")

    def free_ports(self, count):
        """Ports that are free for TCP and UDP on addresses of this run."""
        ports = []
        for port in range(21000 + os.getpid() % 97 * 40, 60000):
            if all(is_free(f"{self.net}.{group}.1", port) for group in (1, 2, 3, 4)):
                ports.append(port)
            if len(ports) == count:
                return ports
        raise CannotRun("no free ports")

    def add(self, role, number, zone):
        machine = Machine(self, role, number, zone)
        self.machines.append(machine)
        return machine

    def start_controllers(self, count=3):
        controllers = [self.add("controller", n + 1, f"zone-{n + 1}") for n in range(count)]
        for it in controllers:
            it.start(controllers[:3], bootstrap=True)
        return controllers

    def replace_configuration(self, text, controllers, seconds, what):
        """Sends a configuration until it is acknowledged, as the operator does. Returns the status of the last call."""
        end = time.monotonic() + seconds
        status = 0
        while time.monotonic() < end:
            for it in controllers:
                status, _ = it.call("POST", "/Config.Replace", text)
                self.record(f"operator -> {it.name} {what}: {status or 'no response'}")
                if status in (200, 400, 409, 412, 413, 422):
                    return status
            time.sleep(0.2)
        return status

    def read_configuration(self, controllers, seconds):
        """Reads the configuration, at one controller after another, until one returns it. Returns its version or 0."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for it in controllers:
                status, text = it.call("GET", "/Config.Read")
                self.record(f"operator -> {it.name} read: {status or 'no response'}")
                if status == 200:
                    return json.loads(text)["version"]
            time.sleep(0.2)
        return 0

    def find_leader(self, controllers):
        """The controller that answers a read itself instead of redirecting it."""
        for _ in range(50):
            for it in controllers:
                status, _ = call("GET", (it.address, self.ports["control"]), "/Config.Read", redirects=0)
                if status == 200:
                    return it
            time.sleep(0.1)
        raise CannotRun("no controller leads")

    def close(self):
        for it in self.machines:
            it.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, services=("huvo11a", "wuno96b"), host="127.198.18.1"):
    routes = [
        {"name": f"r-{n}", "hostname": host, "path_prefix": f"/{8080 + n}/", "route_type": kind, "timeout_ms": 1500,
         "target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": 2}
        for n, (service, kind) in enumerate(zip(services, ("safe", "unsafe")))
    ]
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": it, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1",
                      "tls": False} for it in dict.fromkeys(services)],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }, ensure_ascii=False).encode()


def end_on_signal(number, _):
    raise CannotRun(f"ended by signal {number}")


def run_case(folder, case, record_file="record.txt"):
    """Runs case(system), which returns True if the rule held. Exits with 0, 1 (broken) or 2 (could not run)."""
    signal.signal(signal.SIGTERM, end_on_signal)
    system = None
    status = 2
    try:
        system = System(folder / record_file)
        held = case(system)
        system.record("RULE HELD" if held else "RULE BROKEN")
        status = 0 if held else 1
    except CannotRun as problem:
        print(f"could not run: {problem}", file=sys.stderr)
    except Exception:  # a fault of the script says nothing about the rule
        traceback.print_exc()
    finally:
        if system:
            system.close()
    sys.exit(status)
