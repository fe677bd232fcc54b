"""Evacuation soak: orders evacuations and restores of zones from ibisgwd, also while daemons are killed.

Checks that no new flow goes to an evacuated zone later than BOUND_S after the revision is in force, that no open stream
breaks, and that repeated orders change nothing. Prints one line for each order and a verdict; exits with status 1 if a
check failed."""

import argparse
import json
import pathlib
import random as random_module
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import local_system  # noqa: E402
from local_system import LocalSystem, ZONES, wait_for  # noqa: E402

BALANCERS = [f"balancer-{n}" for n in range(4)]
CONTROLLERS = [f"controller-{n}" for n in range(3)]
UPSTREAMS_PER_ZONE = 3
# Opens that were placed before the revision came into force have reached their upstream after this time.
BOUND_S = 1.0
# An order that a fault delays is repeated for at most this long: an election and the timeouts of one call.
ORDER_LIMIT_S = 30.0
STREAMS = 40
PROBE_STREAMS = 30
PROBE_MS = 500
# Callers wait for answers for this long after they have started their last flow.
PROBE_DEADLINE_MS = 300


class EvacuationSoak:
    """A system of ibisgwd with long-lived streams, and the operator that orders evacuations."""

    def __init__(self, binaries, seed, seconds):
        self.random = random_module.Random(seed)
        self.seconds = seconds
        self.system = LocalSystem(binaries)
        self.evacuated = set()
        self.zone_of = {}
        self.failures = []
        self.orders = 0
        self.probes = 0
        self.started_at = time.monotonic()

    def fail(self, text):
        self.failures.append(f"{time.monotonic() - self.started_at:.2f} s: {text}")

    def start(self):
        self.system.start_fabric()
        self.system.start_daemons(len(CONTROLLERS), len(BALANCERS))
        path = self.system.folder / "document.json"
        path.write_text(json.dumps(local_system.peachtree_document()))
        wait_for(lambda: self.cli("balancer-0", "config", "submit", path, "--base", 0)[0] == 0, "the first revision")
        count = UPSTREAMS_PER_ZONE * len(ZONES)
        for n in range(count):
            self.system.start_upstream(f"slotdesk-{n}", "slotdesk", ZONES[n % len(ZONES)])
        wait_for(lambda: all(self.system.upstream_count(it) == count for it in BALANCERS), "the upstreams")
        upstreams = self.system.api("balancer-0", "/api/v1/upstreams")["upstreams"]
        self.zone_of = {it["address"]: it["zone"] for it in upstreams}
        wait_for(lambda: all("ibisgw_raft_voter 1" in self.system.metrics(it).splitlines() for it in CONTROLLERS),
                 "all controllers as voters")

    def cli(self, daemon, *arguments):
        return self.system.cli(daemon, *arguments)

    def running(self, names):
        return [it for it in names if self.system.processes[it].poll() is None]

    def order(self, command, zone):
        """Repeats the order at random daemons until it is acknowledged; returns its answer."""
        end = time.monotonic() + ORDER_LIMIT_S
        output = ""
        while time.monotonic() < end:
            daemon = self.random.choice(self.running(BALANCERS + CONTROLLERS))
            status, output = self.cli(daemon, "zone", command, zone, "--json")
            if status == 0:
                return json.loads(output)
            if status not in (1, 3, 4):
                break
            time.sleep(0.1)
        self.fail(f"zone {command} {zone} was not acknowledged: {output}")
        return None

    def is_in_force(self, revision):
        answers = [self.system.api(it, "/api/v1/status") for it in self.running(BALANCERS)]
        return all(it and it["revision_in_force"] >= revision for it in answers)

    def change_zone(self):
        """Evacuates a zone or restores it, sometimes while a daemon is killed."""
        zone = self.random.choice(ZONES)
        command = "restore" if zone in self.evacuated else "evacuate"
        victim = self.random.choice(BALANCERS + CONTROLLERS) if self.random.random() < 0.5 else None
        print(f"{time.monotonic() - self.started_at:6.2f} s {command} {zone}, killed: {victim}", flush=True)
        if victim:
            self.system.kill(victim)
        answer = self.order(command, zone)
        if not answer:
            return
        self.orders += 1
        self.evacuated ^= {zone}
        wait_for(lambda: self.is_in_force(answer["revision"]), f"revision {answer['revision']} in force")
        self.check_repeat(command, zone, answer["revision"])
        if victim:
            self.system.restart(victim)
        time.sleep(BOUND_S)
        self.check_new_flows(has_faults=victim is not None)

    def check_repeat(self, command, zone, revision):
        answer = self.order(command, zone)
        if answer and answer["revision"] != revision:
            self.fail(f"the repeat of {command} {zone} made revision {answer['revision']} from {revision}")

    def check_new_flows(self, has_faults):
        self.probes += 1
        name = f"probe-{self.probes}"
        self.system.start_callers(name, "slotdesk", "--streams", PROBE_STREAMS, "--duration-ms", PROBE_MS,
                                  "--deadline-ms", PROBE_DEADLINE_MS)
        flows = self.system.report(name)["flows_by_upstream"]
        zones = {self.zone_of.get(it, it) for it in flows}
        if zones & self.evacuated:
            self.fail(f"{name} opened {flows} while {sorted(self.evacuated)} are evacuated")
        if not has_faults and zones != set(ZONES) - self.evacuated:
            self.fail(f"{name} opened {flows}; every zone but {sorted(self.evacuated)} takes new flows")

    def run(self):
        self.start()
        duration_ms = int(self.seconds * 1000)
        self.system.start_callers("streams", "slotdesk", "--streams", STREAMS, "--duration-ms", duration_ms)
        time.sleep(1.0)
        self.started_at = time.monotonic()
        while time.monotonic() - self.started_at < self.seconds - 3.0:
            self.change_zone()
        report = self.system.report("streams")
        if report["broken_streams"] or report["streams"] != STREAMS:
            self.fail(f"{report['broken_streams']} of {report['streams']} streams broke: {report['break_reasons']}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="length of the series of orders")
    arguments = parser.parse_args()
    soak = EvacuationSoak(arguments.bin, arguments.seed, arguments.seconds)
    try:
        soak.run()
    finally:
        soak.system.stop_all()
    for it in soak.failures[:20]:
        print("BROKEN", it)
    verdict = "passed" if not soak.failures else f"failed, logs in {soak.system.folder}"
    print(f"evacuation soak seed {arguments.seed}: {verdict}; orders {soak.orders}, probes {soak.probes}")
    if not soak.failures:
        shutil.rmtree(soak.system.folder)
    return 1 if soak.failures else 0


if __name__ == "__main__":
    sys.exit(main())
