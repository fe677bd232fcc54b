"""Starts and stops the processes of a small ibisgw system on loopback, for the demo and the process tests."""

import collections
import json
import pathlib
import random
import secrets
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

# Limits the wait for a condition that never becomes true because of a fault; no test depends on its length.
WAIT_LIMIT_S = 60
POLL_S = 0.05

CONTROL_PORT = 7000
ADMIN_PORT = 7001
ZONES = ["ga-central-a", "ga-central-b"]
SERVICES = {"slotdesk": "127.0.0.1:4430", "regatta-archive": "127.0.0.1:4431"}
KINDS = {
    "slotdesk": [
        {"id": 1, "name": "race-board", "idempotent": True, "placement": "sticky"},
        {"id": 2, "name": "booking", "idempotent": False, "placement": "load"},
    ],
    "regatta-archive": [{"id": 3, "name": "upload", "idempotent": False, "placement": "load"}],
}


def wait_for(condition, what):
    """Polls the condition and returns its first true value; raises AssertionError after WAIT_LIMIT_S."""
    deadline = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for {what}")


def peachtree_document():
    return {
        "organizations": [{"name": "peachtree"}],
        "zones": [{"name": it, "region": "ga-central"} for it in ZONES],
        "services": [
            {"name": name, "organization": "peachtree", "addresses": [address], "kinds": KINDS[name]}
            for name, address in SERVICES.items()
        ],
    }


class LocalSystem:
    """The processes of one system: controllers, balancers, and the simulated fabric, upstreams and callers.

    stop_all() kills every process that was started here."""

    def __init__(self, binaries, folder=None):
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="ibisgw-"))
        self.processes = {}
        self.commands = {}
        # Peers are configured with fixed ports. A random network in 127.0.0.0/8 for each system keeps other
        # processes from holding the same address and port.
        self.network = f"127.{random.SystemRandom().randrange(2, 250)}.{random.SystemRandom().randrange(250)}"
        self.hosts = {}
        self.key_file = self.folder / "keys.json"
        self.key_file.touch(mode=0o600)
        self.key_file.write_text(json.dumps({"signing_key": 1, "keys": {"1": secrets.token_hex(32)}}))
        self.fabric = None
        # Recording spans of all flows would slow the demo; tests that read spans raise the rate.
        self.trace_sampling_rate = 0.01

    def start(self, name, program, *arguments):
        self.commands[name] = [str(self.binaries / program), *map(str, arguments)]
        self.restart(name)

    def restart(self, name):
        with open(self.folder / f"{name}.out", "ab") as log:
            self.processes[name] = subprocess.Popen(self.commands[name], stdout=log, stderr=log)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def host(self, name):
        return self.hosts.setdefault(name, f"{self.network}.{len(self.hosts) + 1}")

    def control_address(self, name):
        return f"{self.host(name)}:{CONTROL_PORT}"

    def admin_address(self, name):
        return f"{self.host(name)}:{ADMIN_PORT}"

    def start_fabric(self, loss=0.0, duplication=0.0, seed=1):
        ports = self.folder / "fabric.json"
        arguments = ["--ports-file", ports, "--loss", loss, "--duplication", duplication, "--seed", seed]
        self.start("fabric", "ibisgw-fabric", *arguments)
        wait_for(ports.exists, "the fabric")
        self.fabric = json.loads(ports.read_text())

    def start_daemons(self, controllers, balancers):
        controller_names = [f"controller-{n}" for n in range(controllers)]
        balancer_names = [f"balancer-{n}" for n in range(balancers)]
        seeds = [self.control_address(it) for it in controller_names + balancer_names[:2]]
        for names, is_balancer in ((controller_names, False), (balancer_names, True)):
            for n, name in enumerate(names):
                self.start_daemon(name, ZONES[n % len(ZONES)], is_balancer, seeds, controller_names)

    def start_daemon(self, name, zone, is_balancer, seeds, controller_names):
        settings = {
            "name": name,
            "zone": zone,
            "region": "ga-central",
            "group": "peachtree",
            "balancer": is_balancer,
            "controller": not is_balancer,
            "control": self.control_address(name),
            "admin": self.admin_address(name),
            "seeds": seeds,
            "controllers": [self.control_address(it) for it in controller_names],
            "key_file": str(self.key_file),
            "trace_file": str(self.folder / f"{name}.trace"),
            "trace_sampling_rate": self.trace_sampling_rate,
        }
        if is_balancer:
            settings["caller_side"] = settings["upstream_side"] = f"{self.host(name)}:0"
            settings["fabrics"] = [self.fabric["upstream_side"]]
        else:
            settings["data_folder"] = str(self.folder / f"{name}.data")
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self.start(name, "ibisgwd", path)

    def start_upstream(self, name, service, zone, *arguments):
        self.start(
            name, "ibisgw-upstream", "--service", service, "--zone", zone,
            "--fabric", self.fabric["upstream_side"], "--journal", self.folder / f"{name}.journal", *arguments,
        )  # fmt: skip

    def start_callers(self, name, service, *arguments):
        self.start(
            name, "ibisgw-callers", "--fabric", self.fabric["caller_side"], "--service", SERVICES[service],
            "--report", self.folder / f"{name}.report.json", *arguments,
        )  # fmt: skip

    def report(self, name):
        self.processes[name].wait()
        return json.loads((self.folder / f"{name}.report.json").read_text())

    def executions(self):
        """Returns how often the upstreams ran each request (caller, request), from their journals."""
        runs = collections.Counter()
        for path in self.folder.glob("*.journal"):
            for line in path.read_text().splitlines():
                caller, request, _ = line.split()
                runs[(caller, request)] += 1
        return runs

    def api(self, daemon, path):
        """Returns the JSON response of the administration API, or None if the daemon is not reachable."""
        text = self.get_body(daemon, path)
        return json.loads(text) if text else None

    def metrics(self, daemon):
        return self.get_body(daemon, "/metrics")

    def get_body(self, daemon, path):
        """Returns the response body, or an empty text if the daemon is not reachable."""
        try:
            with urllib.request.urlopen(f"http://{self.admin_address(daemon)}{path}", timeout=10) as answer:
                return answer.read().decode()
        except (urllib.error.URLError, TimeoutError, ConnectionError):
            return ""

    def leader(self, daemon):
        status = self.api(daemon, "/api/v1/status")
        return status and status["leader"]

    def upstream_count(self, balancer):
        answer = self.api(balancer, "/api/v1/upstreams")
        return len(answer["upstreams"]) if answer else 0

    def cli(self, daemon, *arguments):
        """Runs the command-line tool against the daemon; returns its exit status and output (stdout, then stderr)."""
        command = [str(self.binaries / "ibisgw"), *map(str, arguments), "--api", f"http://{self.admin_address(daemon)}"]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        return result.returncode, result.stdout + result.stderr
