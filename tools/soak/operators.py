"""Operators: loops of changes, each sent again, to other nodes, until it has a clear answer."""
import json
import random
import threading
import time

import cluster as clusters
import documents
import history as records

SILENCE_S = 1.0
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 1.0
CLEAR = (200, 400, 404, 409, 412, 413, 422)
ROUTES_KEPT = 24  # a small configuration


class Acknowledgements:
    """Lets the closing fault come right behind an answer of yes."""

    def __init__(self):
        self.rung = threading.Condition()
        self.count = 0

    def ring(self):
        with self.rung:
            self.count += 1
            self.rung.notify_all()

    def wait(self, seconds):
        with self.rung:
            seen = self.count
            return self.rung.wait_for(lambda: self.count > seen, seconds)


class Operator:
    def __init__(self, name, cluster, history, seed, acknowledgements, meeting, large):
        self.name, self.cluster, self.history, self.acknowledgements, self.meeting, self.large = name, cluster, history, acknowledgements, meeting, large
        self.random = random.Random(f"{name} {seed}")
        self.source = f"{cluster.prefix}.{clusters.OPERATOR_IPS[name]}"
        self.stopping = threading.Event()
        self.made = 0
        self.known = None  # the newest document that this operator read or made

    def node(self, but=None):
        names = [process.name for process in self.cluster.trellises()]
        return self.random.choice([name for name in names if name != but])

    def call(self, node, method, path, body=None, headers=None, timeout=SILENCE_S):
        address = f"{self.cluster.known_ip(self.cluster.processes[node].machine)}:{clusters.CONTROL_PORT}"
        return clusters.call(address, method, path, body, headers, timeout, self.source)

    def read(self):
        """The newest configuration, from any node that answers."""
        pause = FIRST_PAUSE_S
        while not self.stopping.is_set():
            node, begin = self.node(), time.monotonic()
            status, headers, body = self.call(node, "GET", "/charter")
            document = json.loads(body) if status == 200 else None
            self.history.add(records.Read(node, begin, time.monotonic(), status, document["number"] if document else 0, records.digest(document) if document else ""))
            if document:
                self.known = document
                return True
            if status == 404:
                self.known = documents.empty()
                return True
            self.stopping.wait(pause)
            pause = min(pause * 2, LONGEST_PAUSE_S)
        return False

    def until_clear(self, send):
        """Sends an order until it has a clear answer; each time to another node."""
        pause, node = FIRST_PAUSE_S, None
        while True:
            node = self.node(node)
            status = send(node)
            if status in CLEAR or self.stopping.is_set():
                return status
            self.stopping.wait(pause)
            pause = min(pause * 2, LONGEST_PAUSE_S)

    def send_change(self, change, method, body, node):
        headers = {"If-Match": f'"{change.expected}"'} if change.expected is not None else {}
        begin = time.monotonic()
        status, _, _ = self.call(node, method, "/charter", body, headers)
        self.history.add(records.Attempt(change.identity, node, begin, time.monotonic(), status))
        if status == 200:
            self.acknowledgements.ring()
        return status

    def identity(self):
        self.made += 1
        return f"{self.name[-1]}-{self.made}"

    def draw_names(self, count):
        return [f"r{self.name[-1]}{self.made}-{index}" for index in range(count)]

    def change_routes(self):
        """Adds and removes routes, by a partial change or a whole document."""
        identity, base = self.identity(), self.known
        there = documents.names_of(base)
        large = self.large and self.random.random() < 0.08
        added = self.draw_names(documents.LARGE_ROUTES - len(there) if large and len(there) < documents.LARGE_ROUTES else self.random.randint(1, 4))
        removed = there[:len(there) - ROUTES_KEPT] if len(there) > ROUTES_KEPT else self.random.sample(there, min(len(there), self.random.randint(0, 2)))
        partial = documents.patch(base["number"] + self.random.choice((1, 1, 1, 3)), identity, added, removed)
        after = documents.merged(base, partial)
        whole = base["number"] == 0 or self.random.random() < 0.35
        change = records.Change(identity, self.name, after["number"], base["number"], True, records.digest(after), documents.routes_of(after), "put" if whole else "patch")
        self.order(change, "PUT" if whole else "PATCH", json.dumps(after if whole else partial), after)

    def order(self, change, method, body, after):
        self.history.add_change(change)
        status = self.until_clear(lambda node: self.send_change(change, method, body, node))
        if status == 200 and change.valid:
            self.known = after
            if self.random.random() < 0.3 and not self.stopping.is_set():
                self.until_clear(lambda node: self.send_change(change, method, body, node))
        elif status != 200:
            self.known = None

    def change_wrongly(self):
        """One that is invalid, or builds on a version that is no longer there."""
        identity, base = self.identity(), self.known
        after = documents.merged(base, documents.patch(base["number"] + 1, identity, self.draw_names(1), []))
        stale = base["number"] > 2 and self.random.random() < 0.4
        expected = base["number"] - 1 if stale else base["number"]
        body = json.dumps(after) if stale else documents.spoiled(after, self.random.randrange(4))
        change = records.Change(identity, self.name, after["number"], expected, False, records.digest(after), documents.routes_of(after), "stale" if stale else "invalid")
        self.order(change, "PUT", body, after)

    def evacuate(self):
        """A zone is emptied and taken back."""
        zone = self.random.choice(self.cluster.zones)
        for evacuated in (True, False):
            identity = self.identity()

            def send(node, evacuated=evacuated, identity=identity):
                begin = time.monotonic()
                status, _, _ = self.call(node, "POST" if evacuated else "DELETE", f"/halls/{zone}/evacuate", b"" if evacuated else None)
                self.history.add(records.EvacuationOrder(zone, evacuated, node, begin, time.monotonic(), status, identity))
                return status
            self.until_clear(send)
            self.stopping.wait(self.random.uniform(0.1, 1.0))

    def run(self):
        while not self.stopping.is_set():
            if self.random.random() < 0.2:  # both on one version at once
                try:
                    self.meeting.wait(0.6)
                except threading.BrokenBarrierError:
                    self.meeting.reset()
                self.known = None
            if self.known is None and not self.read():
                return
            drawn = self.random.random()
            if drawn < 0.1 and self.name == "operator-1":
                self.evacuate()
            elif drawn < 0.25 and self.known["number"] > 0:
                self.change_wrongly()
                self.known = None
            else:
                self.change_routes()
            self.stopping.wait(self.random.uniform(0, 0.8))
