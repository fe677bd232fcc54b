"""An invalid configuration that is cut short within a character ends every controller that reads it."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from deployment import configuration, route
from harness import require, run_case

RESTART_DELAY_S = 0.5
RESEND_S = 20.0
# The rule: three ends in the day on half of the core.
MAX_ENDS = 2


class Platform:
    """Restarts controllers that have ended by themselves, and counts their ends."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ends = {it.name: 0 for it in deployment.controllers}
        self.is_running = True
        deployment.parts.append(self)
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while self.is_running:
            for it in self.deployment.controllers:
                if not it.is_running():
                    self.ends[it.name] += 1
                    self.deployment.record(f"{it.name} has ended by itself with status {it.process.returncode}")
                    time.sleep(RESTART_DELAY_S)
                    it.start()
            time.sleep(0.02)

    def stop(self):
        self.is_running = False
        self.thread.join()


def play(deployment, has_trouble):
    routes = [route("bestellung-bern", "127.198.18.1", 8080, "atelier"),
              route("bestellung-zürich", "127.198.18.2", 8080, "atelier")]
    deployment.start()
    require(deployment.replace_configuration(configuration(7, routes, ["atelier"])), "version 7 is not acknowledged")
    time.sleep(1.0)
    platform = Platform(deployment)
    body = json.dumps(configuration(9, routes, ["atelier"]), ensure_ascii=False).encode()
    if has_trouble:
        body = body[:body.index("ü".encode()) + 1]
    deployment.record(f"operator: version 9, {len(body)} bytes, which end with {body[-12:]}")
    status, text, _ = deployment.send_order("POST", "/Config.Replace", body, RESEND_S)
    deployment.record(f"operator: last answer {status} {text[:80]}")
    time.sleep(2.0)
    platform.stop()
    deployment.record(f"ends of controllers by themselves: {platform.ends}")
    often = [name for name, count in platform.ends.items() if count > MAX_ENDS]
    if 2 * len(often) >= len(deployment.controllers):
        return [f"Fault: {', '.join(often)} ended by themselves three times or more ({platform.ends}); the invalid "
                f"configuration has no 4xx after {RESEND_S:.0f} s"]
    require(status == (400 if has_trouble else 200), f"unexpected answer {status}")
    return []


run_case(pathlib.Path(__file__).parent, play, controllers=3, balancers=3)
