"""Measures processor time and memory of real daemons at several counts, for docs/CAPACITY.md.

Starts 3 controllers and N balancers with two upstreams for each balancer on loopback, waits until a document
is in force everywhere, and reads the counters of each process from /proc over a window without traffic.
Prints one JSON line for each count. Processor time is CPU seconds, not wall time.
"""

import argparse
import json
import os
import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scripts"))
import local_system  # noqa: E402
from local_system import LocalSystem, ZONES, wait_for  # noqa: E402

WINDOW_S = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mib(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(binaries, balancers):
    system = LocalSystem(binaries)
    try:
        system.start_fabric()
        system.start_daemons(3, balancers)
        names = [f"balancer-{n}" for n in range(balancers)]
        path = system.folder / "document.json"
        path.write_text(json.dumps(local_system.peachtree_document()))
        wait_for(lambda: system.cli("balancer-0", "config", "submit", path, "--base", 0)[0] == 0, "revision 1")
        for n in range(2 * balancers):
            system.start_upstream(f"slotdesk-{n}", "slotdesk", ZONES[n % 2])
        wait_for(lambda: all(system.upstream_count(it) == 2 * balancers for it in names), "the upstreams")
        controllers = [f"controller-{n}" for n in range(3)]
        before = {it: cpu_seconds(system.processes[it]) for it in names + controllers}
        time.sleep(WINDOW_S)
        share = {it: (cpu_seconds(system.processes[it]) - before[it]) / WINDOW_S for it in names + controllers}
        print(json.dumps({
            "balancers": balancers,
            "balancer_core_share_mean": round(sum(share[it] for it in names) / balancers, 5),
            "balancer_core_share_max": max(share[it] for it in names),
            "controller_core_share_max": max(share[it] for it in controllers),
            "balancer_resident_mib_max": round(max(resident_mib(system.processes[it]) for it in names), 1),
            "controller_resident_mib_max": round(max(resident_mib(system.processes[it]) for it in controllers), 1),
        }), flush=True)  # fmt: skip
    finally:
        system.stop_all()
        shutil.rmtree(system.folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--counts", type=int, nargs="+", default=[3, 9, 18, 36])
    arguments = parser.parse_args()
    for count in arguments.counts:
        measure(arguments.bin, count)


if __name__ == "__main__":
    main()
