"""The promises that callers, upstreams and operators can see, checked while the soak runs."""

from collections import Counter


class Checks:
    # An acknowledged drain is in force after this time at balancers without a fault.
    DRAIN_SECONDS = 3.0
    # A fault counts against nobody for this long after its end.
    TOUCH_SECONDS = 4.0

    def __init__(self, world):
        self.world = world
        self.failures = []
        self.runs = Counter()
        self.attempts = {}
        self.refused = {}
        self.open_flows = {}
        self.counts = Counter()
        self.acknowledged = 0
        self.sent = {}

    def fail(self, rule, text):
        self.failures.append(f"{self.world.now():.3f} {rule}: {text}")

    def attempted(self, name, flow):
        self.attempts[name] = flow

    def finished(self, served):
        self.counts["served" if served else "lost"] += 1

    def ran(self, upstream, packet):
        name = packet.data.split(b"Attempt-Id: ")[-1].split(b"\r\n")[0].decode()
        self.runs[name] += 1
        if name not in self.attempts:
            self.fail("unasked", f"upstream {upstream.id} ran {name}, which nobody asked for")
        if self.runs[name] > 1:
            self.fail("twice", f"request {name} ran {self.runs[name]} times")
        if name in self.refused:
            self.fail("not_run", f"request {name} ran on a flow that was refused before it opened")
        allowed = self.world.services_of(packet.dst)
        if upstream.service not in allowed:
            self.fail("route", f"request {name} for {packet.dst} ran at service {upstream.service}")

    def not_run(self, name, flow):
        if flow.is_reset:
            self.refused[name] = self.world.now()
            self.counts["refused"] += 1
        if self.runs[name]:
            self.fail("not_run", f"request {name} ran although its flow never opened")

    def flow_opened(self, upstream, key):
        self.open_flows[key] = upstream

    def flow_closed(self, key):
        self.open_flows.pop(key, None)

    def reset_received(self, flow, packet):
        self.counts["resets"] += 1
        upstream = self.open_flows.get((flow.source, flow.target))
        # A reset of the upstream itself carries the token of the flow.
        if upstream is None or packet.echo != 0 or not upstream.is_alive:
            return
        if self.world.is_calm():
            self.fail("flow", f"the open flow {flow.source} > {flow.target} was reset though its upstream lives")

    def opening_packet(self, upstream, packet):
        acknowledged = upstream.drain_acknowledged_at
        if acknowledged is None or self.world.now() - acknowledged < self.DRAIN_SECONDS:
            return
        if self.world.calm_since() < acknowledged - self.TOUCH_SECONDS:
            late = self.world.now() - acknowledged
            self.fail("drain", f"upstream {upstream.id} got a new flow {late:.2f} s after its drain was acknowledged")

    def acknowledged_change(self, version):
        self.acknowledged = max(self.acknowledged, version)
        self.counts["changes"] += 1

    def read(self, floor, version, text):
        self.counts["reads"] += 1
        if version < floor:
            self.fail("config", f"a read answered {version} after {floor} was acknowledged")
        if self.sent.get(version) != text:
            self.fail("config", f"version {version} was read back with other content than was sent")

    def summary(self):
        names = ("served", "lost", "refused", "resets", "changes", "reads")
        return ", ".join(f"{it} {self.counts[it]}" for it in names)
