"""Runs controllers, balancers, a fabric, upstreams and callers as separate processes on loopback.

Submits a document, opens flows, kills a balancer, drains an upstream, submits a change, and prints the outcomes
of the requests and flows. Exits with status 1 if a guarantee is violated.
"""

import argparse
import collections
import json
import shutil
import signal
import sys
import time

import local_system
from local_system import LocalSystem, ZONES, wait_for

CONTROLLERS = 3
BALANCERS = 3
RUN_MS = 12000
UPSTREAMS = {"slotdesk": 4, "regatta-archive": 2}


def submit(system, document, base, balancers):
    """Submits the document and returns the seconds until it is in force on all of the given balancers."""
    path = system.folder / f"document-{base}.json"
    path.write_text(json.dumps(document, indent=2))
    started = time.monotonic()
    status, output = system.cli("balancer-1", "config", "submit", path, "--base", base)
    if status != 0:
        raise AssertionError(f"the document was not accepted: {output}")

    def is_in_force():
        answers = [system.api(it, "/api/v1/status") for it in balancers]
        return all(it and it["revision_in_force"] > base for it in answers)

    wait_for(is_in_force, "the document in force")
    return time.monotonic() - started


def run(system):
    names = ["streams", "bookings", "uploads"]
    balancers = [f"balancer-{n}" for n in range(BALANCERS)]
    system.start_fabric(loss=0.01, duplication=0.01)
    system.start_daemons(CONTROLLERS, BALANCERS)
    for service, count in UPSTREAMS.items():
        for n in range(count):
            system.start_upstream(f"{service}-{n}", service, ZONES[n % len(ZONES)])
    document = local_system.peachtree_document()
    wait_for(lambda: system.leader("controller-0"), "a leader")
    seconds_until_in_force = [submit(system, document, 0, balancers)]
    total = sum(UPSTREAMS.values())
    wait_for(lambda: all(system.upstream_count(it) == total for it in balancers), "the upstreams")

    system.start_callers("streams", "slotdesk", "--streams", 100, "--duration-ms", RUN_MS)
    system.start_callers("bookings", "slotdesk", "--requests-per-second", 40, "--duration-ms", RUN_MS)
    system.start_callers(
        "uploads", "regatta-archive", "--requests-per-second", 10, "--request-kind", 3, "--duration-ms", RUN_MS
    )
    time.sleep(3)
    system.kill("balancer-0")
    time.sleep(2)
    system.processes["slotdesk-0"].send_signal(signal.SIGUSR1)
    time.sleep(1)
    document["services"][0]["kinds"][1]["deadline_ms"] = 4000
    seconds_until_in_force.append(submit(system, document, 1, balancers[1:]))
    return {name: system.report(name) for name in names}, seconds_until_in_force


def print_report(system, reports, seconds_until_in_force):
    """Prints the table; returns whether all guarantees held and more than 90 % of the requests were answered."""
    runs = system.executions()
    ran_callers = {caller for caller, _ in runs}
    ran_twice = sum(1 for n in runs.values() if n > 1)
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
        ("flows of streams opened", total["streams"]),
        ("flows of streams broken", total["broken_streams"]),
    ]
    for name, it in reports.items():
        rows += [(f"{name} on upstream {upstream}", n) for upstream, n in it["flows_by_upstream"].items()]
    rows += [(f"seconds until revision {n} in force", f"{it:.2f}") for n, it in enumerate(seconds_until_in_force, 1)]
    for label, value in rows:
        print(f"{label:44} {value}")
    held = ran_twice == 0 and false_not_run == 0 and total["broken_streams"] == 0
    return held and total["answered"] > 0.9 * total["requests"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--keep", action="store_true", help="keep the system running until it is interrupted")
    arguments = parser.parse_args()
    system = LocalSystem(arguments.bin)
    held = False
    try:
        reports, seconds_until_in_force = run(system)
        held = print_report(system, reports, seconds_until_in_force)
        print("all guarantees held" if held else "A GUARANTEE WAS BROKEN")
        if arguments.keep:
            print(f"console: http://{system.admin_address('balancer-1')}/console  (stop with Ctrl-C)")
            signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        system.stop_all()
        if held:
            shutil.rmtree(system.folder)
        else:
            print(f"logs are in {system.folder}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
