"""Runs one case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

import os
import pathlib
import signal
import sys
import traceback

from deployment import Deployment

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 115


class CannotRun(Exception):
    """A step that has nothing to do with the disruption failed."""


def require(condition, text):
    if not condition:
        raise CannotRun(text)


def stop_run(number, frame):
    raise CannotRun(f"ended by {signal.Signals(number).name}")


def run_case(folder, play, record="record.txt", **machines):
    """Calls play(deployment, has_trouble), which returns the reasons why the rule counts as broken."""
    signal.signal(signal.SIGTERM, stop_run)
    signal.signal(signal.SIGINT, stop_run)
    signal.signal(signal.SIGALRM, stop_run)
    signal.alarm(MAX_SECONDS)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        deployment = Deployment(pathlib.Path(folder) / record, **machines)
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    status = NOT_RUN
    try:
        deployment.record(f"TROUBLE={int(has_trouble)}")
        reasons = play(deployment, has_trouble)
        for it in reasons:
            deployment.record(f"BROKEN {it}")
            print(f"broken: {it}")
        status = BROKEN if reasons else HELD
    except Exception as exception:
        deployment.record(f"could not run: {exception}")
        traceback.print_exc()
    finally:
        signal.alarm(0)
        deployment.record(f"exit status {status}")
        deployment.stop()
    sys.exit(status)
