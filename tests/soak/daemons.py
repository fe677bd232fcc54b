"""Runs the daemons as separate processes, and the gateway that injects faults into the traffic between them."""

import asyncio
import json
import os
import pathlib
import resource
import shutil
import signal
import struct
import subprocess

ZONES = ("a", "b", "c")


class Gateway(asyncio.DatagramProtocol):
    """Forwards datagrams between daemons, and drops or delays them while a network fault is active."""

    def __init__(self, random):
        self.random = random
        self.blocked_links = set()  # blocked directions as (source address, target address)
        self.loss = 0.0
        self.delay = 0.0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = self.transport.get_extra_info("sockname")

    def datagram_received(self, data, addr):
        if len(data) < 12:
            return
        source, _, target, port = struct.unpack_from(">IHIH", data)
        key = (source, target)
        if key in self.blocked_links or self.random.random() < self.loss:
            return
        to = (".".join(str(target >> shift & 255) for shift in (24, 16, 8, 0)), port)
        if self.delay:
            asyncio.get_running_loop().call_later(
                self.delay * self.random.random(), self.transport.sendto, data, to)
        else:
            self.transport.sendto(data, to)


class Daemon:
    """One VM with one daemon. Signals go only to the process started here, by its process id."""

    def __init__(self, program, role, name, zone, address, ports, gateway, folder, tolerated_losses):
        self.program, self.role, self.name, self.zone, self.address = program, role, name, zone, address
        self.ports, self.gateway, self.tolerated_losses = ports, gateway, tolerated_losses
        self.folder = pathlib.Path(folder) / name
        self.folder.mkdir(parents=True)
        self.settings = self.folder / "settings.json"
        self.data = self.folder / "data"
        self.process = None
        self.is_paused = False
        self.was_started = False
        self.faults = 0
        self.disturbed_at = -1e9  # end of the last fault, infinite during one
        self.seeds = []

    def write_settings(self):
        settings = {
            "name": self.name, "zone": self.zone, "peer": f"{self.address}:{self.ports['peer']}",
            "peer_gateway": "%s:%d" % self.gateway.address,
            "seeds": [f"{it}:{self.ports['control']}" for it in self.seeds],
            "report_interval_ms": 500, "grace_period_ms": 4000,
        }
        if self.role == "balancer":
            settings["packets"] = f"{self.address}:{self.ports['packets']}"
            settings["readiness"] = f"{self.address}:{self.ports['ready']}"
        else:
            settings["control"] = f"{self.address}:{self.ports['control']}"
            settings["data_folder"] = str(self.data)
            settings["first_start"] = not self.was_started
            settings["zones"] = ZONES
            settings["tolerated_disk_losses"] = self.tolerated_losses
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(json.dumps(settings))
        temporary.replace(self.settings)

    def start(self):
        if self.is_running():
            return
        self.write_settings()
        self.was_started = True
        self.is_paused = False
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [self.program, self.role, "--settings", str(self.settings)], stdout=log, stderr=subprocess.STDOUT,
            # A full disk is simulated by a limit on the file size. With SIGXFSZ ignored, a write beyond the limit fails
            # instead of ending the process.
            preexec_fn=lambda: signal.signal(signal.SIGXFSZ, signal.SIG_IGN),
        )
        log.close()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def pause(self):
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        self.is_paused = False
        self.send(signal.SIGCONT)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def delete_data(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def set_disk_full(self, is_full):
        if not self.is_running():
            return
        limit = 0 if is_full else resource.RLIM_INFINITY
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))
