"""A balancer that starts while only an outdated and an empty controller run applies the outdated configuration."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from deployment import BOUNDS, ZONES, configuration, route
from flows import Client, Host
from harness import require, run_case

KEPT, DROPPED, ADDED = ("127.198.18.1", 8080), ("127.198.18.2", 8080), ("127.198.18.3", 8080)
TOUCH_S = BOUNDS["connectivity_window_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
DARK_S = 5.5
# Within it each controller has saved the upstreams and the commit index.
CALM_S = 3.0
MARGIN_S = 0.1


def play(deployment, has_trouble):
    outdated, lost_disk, dark = deployment.controllers[2], deployment.controllers[0], deployment.controllers[1]
    restarted = deployment.balancers[0]
    old = configuration(9, [route("kept", *KEPT, "slotdesk"), route("dropped", *DROPPED, "slotdesk")], ["slotdesk"])
    new = configuration(12, [route("kept", *KEPT, "slotdesk"), route("added", *ADDED, "slotdesk")], ["slotdesk"])

    deployment.start()
    require(deployment.replace_configuration(old), "version 9 is not acknowledged")
    for n, address in enumerate(deployment.host_addresses):
        Host(deployment, "slotdesk", ZONES[n], address)
    client = Client(deployment, deployment.client_addresses[0])
    require(deployment.wait_until(lambda: all(deployment.is_ready(it) for it in deployment.balancers), 10),
            "the balancers are not ready")
    for it in deployment.balancers:
        require(client.single_request(it, DROPPED, f"before-{it.name}") == "answered", "version 9 is not in force")
    time.sleep(CALM_S)

    if has_trouble:
        outdated.kill()
    require(deployment.replace_configuration(new), "version 12 is not acknowledged")
    acknowledged_at = deployment.now()
    time.sleep(1.0)
    for it in deployment.balancers:
        require(client.single_request(it, ADDED, f"new-{it.name}") == "answered", "version 12 is not in force")
    if has_trouble:
        dark.kill()
        lost_disk.kill()
        restarted.kill()
        lost_disk.lose_disk()
        for it in (outdated, lost_disk, restarted):
            it.start()
    calm_from = deployment.now()
    in_touch_from = max(calm_from + TOUCH_S, acknowledged_at + APPLY_S) + MARGIN_S

    reasons = []
    while deployment.now() < calm_from + DARK_S - MARGIN_S:
        sent_at = deployment.now()
        is_ready = deployment.is_ready(restarted)
        dropped = client.single_request(restarted, DROPPED, f"dropped-{sent_at:.1f}")
        added = client.single_request(restarted, ADDED, f"added-{sent_at:.1f}")
        deployment.record(f"{restarted.name}: ready {is_ready}, dropped route: {dropped}, added route: {added}")
        if sent_at >= in_touch_from and dropped == "answered":
            reasons.append(f"CONFIG: {restarted.name}, {sent_at - calm_from:.1f} s after the last event, runs a request "
                           f"of a route that version 12, acknowledged {sent_at - acknowledged_at:.1f} s ago, has dropped")
        time.sleep(0.25)
    if has_trouble:
        dark.start()
    status, text, _ = deployment.send_order("GET", "/Config.Read")
    deployment.record(f"operator: read {status} {text[:16]}")
    return reasons


run_case(pathlib.Path(__file__).parent, play, controllers=3, balancers=3, hosts=3)
