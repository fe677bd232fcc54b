"""Runs balancers, a fabric, upstreams and callers as separate processes on loopback.

Prints a table of what became of the requests and flows, and exits with status 1 when a guarantee
does not hold. Every process is started here and ended here.
"""

import argparse
import collections
import json
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

BALANCERS = 3
START_TIMEOUT_S = 10
RUN_MS = 12000
SERVICES = {"slotdesk": ("127.0.0.1:4430", 4), "regatta-archive": ("127.0.0.1:4431", 2)}
ZONES = ["ga-central-a", "ga-central-b"]


def free_port(kind=socket.SOCK_DGRAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_for(condition, what):
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise SystemExit(f"timed out waiting for {what}")


class Demo:
    def __init__(self, binaries, folder):
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(folder)
        self.processes = {}

    def start(self, name, program, *arguments):
        log = open(self.folder / f"{name}.out", "wb")
        command = [str(self.binaries / program), *map(str, arguments)]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def start_fabric(self):
        ports = self.folder / "fabric.json"
        self.start("fabric", "ibisgw-fabric", "--ports-file", ports, "--loss", "0.01", "--duplication", "0.01")
        wait_for(ports.exists, "the fabric")
        self.fabric = json.loads(ports.read_text())

    def write_document(self):
        kinds = {
            "slotdesk": [
                {"id": 1, "name": "race-board", "idempotent": True, "placement": "sticky"},
                {"id": 2, "name": "booking", "idempotent": False, "placement": "load"},
            ],
            "regatta-archive": [{"id": 3, "name": "upload", "idempotent": False, "placement": "load"}],
        }
        document = {
            "organizations": [{"name": "peachtree"}],
            "zones": [{"name": it, "region": "ga-central"} for it in ZONES],
            "services": [
                {"name": name, "organization": "peachtree", "addresses": [address], "kinds": kinds[name]}
                for name, (address, _) in SERVICES.items()
            ],
        }
        self.document = self.folder / "document.json"
        self.document.write_text(json.dumps(document, indent=2))

    def start_balancers(self):
        key_file = self.folder / "keys.json"
        key_file.touch(mode=0o600)
        key_file.write_text(json.dumps({"signing_key": 1, "keys": {"1": secrets.token_hex(32)}}))
        controls = [f"127.0.0.1:{free_port()}" for _ in range(BALANCERS)]
        for n, control in enumerate(controls):
            settings = {
                "name": f"balancer-{n}",
                "zone": ZONES[n % len(ZONES)],
                "region": "ga-central",
                "group": "peachtree",
                "caller_side": "127.0.0.1:0",
                "upstream_side": "127.0.0.1:0",
                "control": control,
                "fabrics": [self.fabric["upstream_side"]],
                "seeds": controls,
                "key_file": str(key_file),
                "initial_document": str(self.document),
            }
            path = self.folder / f"balancer-{n}.json"
            path.write_text(json.dumps(settings, indent=2))
            self.start(f"balancer-{n}", "ibisgwd", path)

    def start_upstreams(self):
        for service, (_, count) in SERVICES.items():
            for n in range(count):
                self.start(
                    f"{service}-{n}", "ibisgw-upstream", "--service", service, "--zone", ZONES[n % len(ZONES)],
                    "--fabric", self.fabric["upstream_side"], "--journal", self.folder / f"{service}-{n}.journal",
                )

    def start_callers(self, name, service, *arguments):
        self.start(
            name, "ibisgw-callers", "--fabric", self.fabric["caller_side"], "--service", SERVICES[service][0],
            "--duration-ms", RUN_MS, "--report", self.folder / f"{name}.report.json", *arguments,
        )

    def executions(self):
        runs = collections.Counter()
        for path in self.folder.glob("*.journal"):
            for line in path.read_text().splitlines():
                caller, request, _ = line.split()
                runs[(caller, request)] += 1
        return runs


def run(demo, keep):
    demo.start_fabric()
    demo.write_document()
    demo.start_balancers()
    time.sleep(0.5)
    demo.start_upstreams()
    time.sleep(1.5)
    demo.start_callers("streams", "slotdesk", "--streams", 100)
    demo.start_callers("bookings", "slotdesk", "--requests-per-second", 40)
    demo.start_callers("uploads", "regatta-archive", "--requests-per-second", 10, "--request-kind", 3)
    time.sleep(4)
    demo.processes["balancer-0"].kill()
    time.sleep(2)
    demo.processes["slotdesk-0"].send_signal(signal.SIGUSR1)
    names = ["streams", "bookings", "uploads"]
    for name in names:
        demo.processes[name].wait(timeout=60)
    reports = {name: json.loads((demo.folder / f"{name}.report.json").read_text()) for name in names}
    if keep:
        print("running; stop with Ctrl-C")
        signal.pause()
    return report(demo, reports)


def report(demo, reports):
    runs = demo.executions()
    ran_twice = sum(1 for n in runs.values() if n > 1)
    ran_callers = {caller for caller, _ in runs}
    false_not_run = sum(1 for it in reports.values() for caller in it["not_run_callers"] if caller in ran_callers)
    total = collections.Counter()
    for it in reports.values():
        total.update({key: value for key, value in it.items() if isinstance(value, int)})
    rows = [
        ("requests sent", total["requests"]),
        ("answered", total["answered"]),
        ("refused as not run", total["not_run"]),
        ("outcome unknown", total["outcome_unknown"]),
        ("run twice (counted by the upstreams)", ran_twice),
        ("refused as not run but run", false_not_run),
        ("streams open", total["streams"]),
        ("streams broken", total["broken_streams"]),
    ]
    for it in reports.values():
        rows += [(f"flows on upstream {name}", n) for name, n in it["flows_by_upstream"].items()]
    for label, value in rows:
        print(f"{label:40} {value}")
    kept = ran_twice == 0 and false_not_run == 0 and total["broken_streams"] == 0
    kept = kept and total["answered"] > 0.9 * total["requests"]
    print("all guarantees held" if kept else "A GUARANTEE WAS BROKEN")
    return 0 if kept else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--keep", action="store_true")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="ibisgw-demo-")
    demo = Demo(arguments.bin, folder)
    try:
        status = run(demo, arguments.keep)
    finally:
        demo.stop_all()
    if status == 0:
        shutil.rmtree(folder)
    else:
        print(f"logs are in {folder}")
    return status


if __name__ == "__main__":
    sys.exit(main())
