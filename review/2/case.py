"""An invalid configuration, cut short inside a character: do the controllers refuse it with a 4xx and live on?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from system import CannotRun, configuration, is_troubled, run_case

ORDERS = 8  # as many as on a day of the site, at its pause
GAP_S = 0.45


def case(system):
    record = system.record
    controllers = system.start_controllers()
    if system.replace_configuration(configuration(7), controllers, 8, "version 7") != 200:
        raise CannotRun("the first configuration was not acknowledged")
    whole = configuration(8, services=("gruppe-zürich", "wuno96b"))
    cut_inside = whole[: whole.index("ü".encode()) + 1]
    cut_before = whole[: whole.index("ü".encode())]

    ends = {it.name: 0 for it in controllers}

    def restart_ended():
        """The provider restarts a process that has ended after a short delay."""
        for it in controllers:
            if not it.is_running():
                ends[it.name] += 1
                record(f"{it.name} has ended by itself with status {it.process.returncode}; it is restarted")
                it.start(controllers, bootstrap=False)

    refused = 0
    body = cut_inside if is_troubled() else cut_before
    for order in range(ORDERS):
        # Without a clear response the operator sends the order to the next controller, with a pause in between.
        for attempt, it in enumerate(controllers):
            status, _ = it.call("POST", "/Config.Replace", body)
            record(f"operator -> {it.name} invalid order {order + 1}, cut short: {status or 'no response'}")
            time.sleep(0.2 + 0.2 * attempt)
            restart_ended()
            if 400 <= status < 500:
                refused += 1
                break
        time.sleep(GAP_S)
    version = system.read_configuration(controllers, 10)
    record(f"{refused} of {ORDERS} invalid orders were refused; ends by themselves: {ends}; version read: {version}")
    return refused == ORDERS and sum(n >= 3 for n in ends.values()) * 2 < len(ends)


run_case(pathlib.Path(__file__).parent, case)
