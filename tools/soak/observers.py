"""Those who only look: reads at any node, queries of routes at furrows, metrics pages and logs."""
import json
import random
import re
import threading
import time

import cluster as clusters
import documents
import history as records

READ_PATIENCE_S = 6.0
PROBE_PATIENCE_S = 1.0
METRICS_PERIOD_S = 1.0
VIOLATIONS = "finchlink_invariant_violations_total"
VIOLATION_EVENT = "InvariantViolated"
ADOPTED = re.compile(r"RevisionAdopted \S+ charter revision (\d+)")


def read_configuration(cluster, history, process, timeout=READ_PATIENCE_S):
    """GET at one node, past the network stand-in."""
    begin = time.monotonic()
    status, _, body = clusters.call(f"{process.own_ip}:{clusters.CONTROL_PORT}", "GET", "/charter", timeout=timeout)
    document = json.loads(body) if status == 200 else None
    read = records.Read(process.name, begin, time.monotonic(), status, document["number"] if document else 0, records.digest(document) if document else "")
    history.add(read)
    return read


def violations_in(page):
    """Lines of a metrics page that count broken invariants: all of them, and those above 0."""
    lines = [line for line in page.splitlines() if line.startswith(VIOLATIONS)]
    return lines, [line for line in lines if float(line.rsplit(" ", 1)[1]) > 0]


class Observers:
    """Threads that look until they are stopped."""

    def __init__(self, cluster, history, seed):
        self.cluster, self.history, self.seed = cluster, history, seed
        self.stopping = threading.Event()
        self.threads = []
        self.counter_lines_seen = 0
        self.pages_read = 0
        self.reported = set()

    def start(self, readers=2, probers=3):
        jobs = [(self.read_loop, index) for index in range(readers)] + [(self.probe_loop, (index, probers)) for index in range(probers)]
        jobs += [(self.metrics_loop, (index, 3)) for index in range(3)] + [(self.watch_loop, 0)]
        for job, given in jobs:
            thread = threading.Thread(target=job, args=(given,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(20)

    def read_loop(self, index):
        own = random.Random(f"reader {index} {self.seed}")
        while not self.stopping.is_set():
            read_configuration(self.cluster, self.history, own.choice(self.cluster.trellises()))
            self.stopping.wait(own.uniform(0.05, 0.3))

    def routes_to_ask(self, own):
        """Routes of acknowledged changes: the newest one's marker, an older one's, and some of either."""
        newest, _ = self.history.newest_acknowledged()
        if newest is None:
            return []
        with self.history.lock:
            acknowledged = {attempt.change for attempt in self.history.attempts[-400:] if attempt.status == 200}
            all_changes = list(self.history.changes.values())[-60:]
        asked = [documents.marker_prefix(newest.identity), own.choice(sorted(newest.routes))]
        older = [change for change in all_changes if change.identity in acknowledged and change.number < newest.number]
        if older:
            asked.append(documents.marker_prefix(own.choice(older).identity))
            asked += own.sample(sorted(own.choice(older).routes), 1)
        wrong = [change for change in all_changes if not change.valid]
        if wrong:
            asked.append(documents.marker_prefix(own.choice(wrong).identity))
        return asked

    def probe_loop(self, share):
        index, of = share
        own = random.Random(f"prober {index} {self.seed}")
        furrows = self.cluster.furrows()[index::of]
        while not self.stopping.is_set():
            for furrow in furrows:
                for route in self.routes_to_ask(own):
                    self.probe(furrow, route)
            self.stopping.wait(0.3)

    def probe(self, furrow, route):
        life, begin = furrow.lives, time.monotonic()
        status, _, _ = clusters.call(f"{furrow.own_ip}:{clusters.CALLER_PORT}", "GET", route + "x", headers={"Host": documents.HOST, "Finchlink-Query": "probe"}, timeout=PROBE_PATIENCE_S)
        if furrow.lives == life:
            self.history.add(records.Probe(furrow.name, life, begin, time.monotonic(), route, status))

    def metrics_loop(self, share):
        index, of = share
        processes = list(self.cluster.processes.values())[index::of]
        while not self.stopping.is_set():
            began = time.monotonic()
            for process in processes:
                self.read_metrics(process)
            self.stopping.wait(max(0.05, METRICS_PERIOD_S - (time.monotonic() - began)))

    def read_metrics(self, process):
        port, path = (clusters.CONTROL_PORT, "/metrics") if process.program == "trellis" else (clusters.READY_PORT, "/-/metrics")
        life = process.lives
        status, _, body = clusters.call(f"{process.own_ip}:{port}", "GET", path, timeout=0.5)
        if status != 200:
            return
        lines, broken = violations_in(body.decode(errors="replace"))
        self.pages_read += 1
        self.counter_lines_seen += len(lines)
        for line in broken:
            if (process.name, life, line) not in self.reported:
                self.reported.add((process.name, life, line))
                self.history.add(records.InvariantReport(process.name, time.monotonic(), line))

    def watch_loop(self, _):
        while not self.stopping.is_set():
            self.cluster.look()
            self.stopping.wait(0.1)


def read_logs(cluster, history):
    """At the end: revisions that furrows adopted, and broken invariants."""
    for process in cluster.processes.values():
        for life in range(1, process.lives + 1):
            with open(cluster.log_path(process.name, life), encoding="utf-8", errors="replace") as stream:
                for line in stream:
                    if VIOLATION_EVENT in line:
                        history.add(records.InvariantReport(process.name, 0.0, line.strip()))
                    found = ADOPTED.search(line)
                    if found and process.program == "furrow":
                        history.add(records.RevisionAdopted(process.name, life, int(found.group(1))))
