"""A heartbeat of another writer, under the id of a live host, names a service that isn't named here."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import foreign


def foreign_heartbeat(host):
    return host.id, host.heartbeat() | {"service": "not-named-here", "sequence": host.sequence + 1}


foreign.run(pathlib.Path(__file__).parent, foreign_heartbeat)
