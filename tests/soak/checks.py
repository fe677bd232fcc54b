"""Checks the guarantees that callers, upstreams and operators can observe while the soak runs."""

from collections import Counter


class Checks:
    """Records requests, flows, drains and configuration changes, and collects violated guarantees in failures."""

    # Balancers without a fault place no new flow on an upstream this long after its drain was acknowledged.
    DRAIN_SECONDS = 3.0
    # Violations that a fault may cause are still excused for this long after its end.
    FAULT_EXCUSE_SECONDS = 4.0
    # From then on after an evacuation was acknowledged, balancers open no flow in the zone (evacuation_ms).
    EVACUATION_SECONDS = 5.0

    def __init__(self, system):
        self.system = system
        self.failures = []
        self.executions = Counter()
        self.attempts = {}
        self.refused = {}
        self.open_flows = {}
        self.counts = Counter()
        self.acknowledged_version = 0
        self.submitted = {}
        self.evacuated = {}  # times at which the evacuations in force were acknowledged, by zone
        self.reopened = {}  # times at which the ends of evacuations were acknowledged, by zone
        self.last_opening = {}
        self.results = Counter()

    def fail(self, rule, text):
        self.failures.append(f"{self.system.now():.3f} {rule}: {text}")

    def request_sent(self, name, flow):
        self.attempts[name] = flow

    def request_finished(self, served, flow):
        result = "served" if served else "lost"
        self.counts[result] += 1
        self.results[flow.balancer.name, result] += 1

    def request_executed(self, upstream, packet):
        name = packet.data.split(b"Attempt-Id: ")[-1].split(b"\r\n")[0].decode()
        self.executions[name] += 1
        if name not in self.attempts:
            self.fail("unasked", f"upstream {upstream.id} ran {name}, which no caller sent")
        if self.executions[name] > 1:
            self.fail("twice", f"request {name} ran {self.executions[name]} times")
        if name in self.refused:
            self.fail("not_run", f"request {name} ran on a flow that was refused before it opened")
        allowed = self.system.services_of(packet.dst)
        if upstream.service not in allowed:
            self.fail("route", f"request {name} for {packet.dst} ran at service {upstream.service}")

    def open_failed(self, name, flow):
        if flow.is_reset:
            self.refused[name] = self.system.now()
            self.counts["refused"] += 1
        if self.executions[name]:
            self.fail("not_run", f"request {name} ran although its flow never opened")

    def flow_opened(self, upstream, key):
        self.open_flows[key] = upstream

    def flow_closed(self, key):
        self.open_flows.pop(key, None)

    def reset_received(self, flow, packet):
        self.counts["resets"] += 1
        upstream = self.open_flows.get((flow.source, flow.target))
        # A reset sent by the upstream carries the token of the flow; one sent by a balancer carries 0.
        if upstream is None or packet.echo != 0 or not upstream.is_alive:
            return
        if self.system.is_fault_free():
            self.fail("flow", f"the open flow {flow.source} > {flow.target} was reset although its upstream is alive")

    def opening_packet(self, upstream, sender):
        self.check_evacuation(upstream, sender)
        acknowledged = upstream.drain_acknowledged_at
        if acknowledged is None or self.system.now() - acknowledged < self.DRAIN_SECONDS:
            return
        if self.system.fault_free_since() < acknowledged - self.FAULT_EXCUSE_SECONDS:
            late = self.system.now() - acknowledged
            self.fail("drain", f"upstream {upstream.id} got a new flow {late:.2f} s after its drain was acknowledged")

    def check_evacuation(self, upstream, sender):
        now = self.system.now()
        self.last_opening[upstream.zone] = now
        balancer = next(it for it in self.system.balancers if it.address == sender)
        in_force = {zone for zone, at in self.evacuated.items() if now - at > self.EVACUATION_SECONDS}
        if not in_force or now - self.system.injector.contact_since(balancer) <= self.FAULT_EXCUSE_SECONDS:
            return
        self.counts["placed beside evacuations"] += 1
        if upstream.zone in in_force:
            late = now - self.evacuated[upstream.zone]
            self.fail("evacuation", f"{balancer.name} opened a flow at upstream {upstream.id} {late:.2f} s after the "
                      f"evacuation of zone {upstream.zone} was acknowledged")

    def check_reopened(self, seconds):
        """Checks that zones whose evacuation has ended have received new flows in the last seconds."""
        now = self.system.now()
        for zone, at in self.reopened.items():
            is_usable = zone not in self.evacuated and zone not in self.system.lost_zones
            if is_usable and now - at > self.EVACUATION_SECONDS + seconds and now - self.last_opening[zone] > seconds:
                self.fail("evacuation", f"zone {zone} gets no new flow {now - at:.2f} s after its evacuation has ended")

    def check_served(self, before, after):
        """Checks for each balancer that most requests since the results in before were served."""
        for it in self.system.balancers:
            served, lost = (self.results[it.name, result] - before[it.name, result] for result in ("served", "lost"))
            if lost > served:
                self.fail("recover", f"after {after} {served} requests were served and {lost} lost at {it.name}")

    def config_acknowledged(self, version):
        self.acknowledged_version = max(self.acknowledged_version, version)
        self.counts["changes"] += 1

    def config_read(self, floor, version, text):
        self.counts["reads"] += 1
        if version < floor:
            self.fail("config", f"a read answered version {version} after version {floor} was acknowledged")
        if self.submitted.get(version) != text:
            self.fail("config", f"version {version} was read back with content that differs from what was submitted")

    def summary(self):
        names = ("served", "lost", "refused", "resets", "changes", "reads", "orders", "placed beside evacuations")
        return ", ".join(f"{it} {self.counts[it]}" for it in names)
