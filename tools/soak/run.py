"""One run of one seed: forms the cluster, lets operators, observers and faults loose, closes, reads back."""
import collections
import dataclasses
import json
import random
import shutil
import threading
import time

import checker
import cluster as clusters
import faults
import history as records
import observers
import operators

FORM_S = 60.0
FIRST_CHANGE_S = 30.0
READ_BACK_S = 60.0  # how long reading back goes on to tell how late it was
READ_PATIENCE_S = 1.0  # then another node is asked


@dataclasses.dataclass
class Options:
    programs: str
    folder: str
    furrows: int = 12
    seconds: float = 40.0
    power_loss: str = ""  # what a kill does to unsynced writes; empty: they stay
    large: bool = True
    keep: bool = False
    without_counters: bool = False
    disks_by_time: bool = False


class Run:
    def __init__(self, seed, options):
        self.seed, self.options = seed, options
        self.folder = f"{options.folder}/seed-{seed}"
        shutil.rmtree(self.folder, ignore_errors=True)
        self.history = records.History()
        self.began, self.wall_offset = time.monotonic(), time.time() - time.monotonic()
        self.cluster = clusters.Cluster(self.folder, options.programs, options.furrows, seed, self.history, options.power_loss)
        self.injector = faults.Injector(self.cluster, self.history, options.disks_by_time)
        self.acknowledgements = operators.Acknowledgements()
        meeting = threading.Barrier(2)
        self.operators = [operators.Operator(name, self.cluster, self.history, seed, self.acknowledgements, meeting, options.large) for name in faults.OPERATORS]
        self.observers = observers.Observers(self.cluster, self.history, seed)
        self.random = random.Random(f"run {seed}")
        self.planned, self.closing, self.figures, self.defects = [], None, {}, []
        self.network, self.has_calm = {}, False

    def execute(self):
        try:
            self.form()
            self.day()
            self.close()
        except RuntimeError as error:
            self.defects.append(str(error))
        finally:
            for operator in self.operators:
                operator.stopping.set()
            self.observers.stop()
            self.cluster.end()
        observers.read_logs(self.cluster, self.history)
        return self.report()

    def wait(self, holds, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if holds():
                return
            time.sleep(0.05)
        raise RuntimeError(f"not within {seconds} s: {what}")

    def voting(self):
        node = self.random.choice(self.cluster.trellises())
        status, _, body = clusters.call(f"{node.own_ip}:{clusters.CONTROL_PORT}", "GET", "/check", timeout=2)
        if status not in (200, 503):
            return 0
        return json.loads(body).get("losses_to_spare", 0)

    def form(self):
        self.cluster.start_helpers()
        self.wait(lambda: self.cluster.network_counts() != {}, 10, "the network stand-in answers")
        for name in self.cluster.processes:
            self.cluster.start(name)
        self.wait(lambda: self.voting() >= clusters.TOLERATED, FORM_S, "all voters vote")
        self.history.formed_at = time.monotonic()
        self.figures["formed_s"] = round(self.history.formed_at - self.began, 2)

    def day(self):
        self.observers.start()
        self.threads = [threading.Thread(target=operator.run, daemon=True) for operator in self.operators]
        for thread in self.threads:
            thread.start()
        if not self.acknowledgements.wait(FIRST_CHANGE_S):
            raise RuntimeError("the first change was not acknowledged")
        planner = faults.Planner(self.seed, self.cluster, self.options.seconds)
        self.planned, self.closing = planner.plan(), planner.closing()
        self.closing_delay, self.has_calm = planner.closing_delay(), planner.has_calm()
        began = time.monotonic()
        self.injector.run(self.planned, began)
        late = planner.late_burst()
        self.planned = self.planned + late
        self.late = threading.Thread(target=self.injector.run, args=(late, began), daemon=True)
        self.late.start()
        time.sleep(max(0.0, began + self.options.seconds - time.monotonic()))
        self.figures["day_s"] = round(time.monotonic() - began, 1)

    def close(self):
        if not self.acknowledgements.wait(30):
            self.defects.append("no acknowledgement to close behind within 30 s")
        time.sleep(self.closing_delay)
        for operator in self.operators:
            operator.stopping.set()
        self.history.closed_at = time.monotonic()
        self.injector.apply(self.closing)
        self.late.join()
        self.closed = time.monotonic()
        ready = threading.Thread(target=self.watch_ready, daemon=True)
        ready.start()
        self.watch_first_answer()
        time.sleep(max(0.0, self.closed + checker.Bounds().settle_s - time.monotonic()))
        self.read_back()
        self.network = self.cluster.network_counts()
        for thread in self.threads:
            thread.join(5)

    def watch_first_answer(self):
        while time.monotonic() < self.closed + checker.Bounds().settle_s:
            for process in self.cluster.trellises():
                read = observers.read_configuration(self.cluster, self.history, process, timeout=1.0)
                if read.status == 200:
                    self.figures["first_answer_s"] = round(read.end - self.closed, 2)
                    return
            time.sleep(0.02)

    def watch_ready(self):
        left = [process.own_ip for process in self.cluster.furrows()]
        while left and time.monotonic() < self.closed + checker.Bounds().settle_s + checker.Bounds().contact_s:
            left = [ip for ip in left if clusters.call(f"{ip}:{clusters.READY_PORT}", "GET", "/-/ready", timeout=1.0)[0] != 200]
            time.sleep(0.05)
        self.figures["all_furrows_ready_s"] = round(time.monotonic() - self.closed, 2) if not left else None
        self.figures["furrows_not_ready"] = len(left)

    def read_back(self):
        begin = time.monotonic()
        read = None
        while time.monotonic() < begin + READ_BACK_S:
            found = observers.read_configuration(self.cluster, self.history, self.random.choice(self.cluster.trellises()), timeout=READ_PATIENCE_S)
            if found.status == 200:
                read = found
                break
            time.sleep(0.1)
        self.history.final = records.FinalRead(begin, time.monotonic(), read)

    def missing_faults(self):
        missing = [fault for fault in self.injector.defects]
        if sum(self.injector.applied.values()) < len(self.planned) + 1:
            missing.append(f"{len(self.planned) + 1} faults were planned, {sum(self.injector.applied.values())} applied")
        missing += [f"nothing to judge: {what}" for what, count in checker.judged(self.history).items() if count == 0 and (what != "orders" or self.has_calm)]
        if self.observers.counter_lines_seen == 0 and not self.options.without_counters:
            missing.append(f"no line of {observers.VIOLATIONS} on {self.observers.pages_read} metrics pages")
        return missing

    def answers(self):
        """How orders of each kind were answered: counts by kind and status."""
        counted = collections.Counter(f"{self.history.changes[attempt.change].kind} {attempt.status}" for attempt in self.history.attempts)
        counted.update(f"evacuation {order.status}" for order in self.history.evacuations)
        return dict(sorted(counted.items()))

    def when(self, moment):
        if moment == 0.0:
            return ""
        return time.strftime("%H:%M:%S", time.localtime(moment + self.wall_offset)) + f" (+{moment - self.began:.2f} s)"

    def report(self):
        history = self.history
        violations = checker.check(history)
        defects = self.defects + self.missing_faults()
        acknowledged = {attempt.change for attempt in history.attempts if attempt.status == 200}
        reads = [read.end - read.begin for read in history.reads if read.status == 200]
        result = {"seed": self.seed, "clean": not violations and not defects, "violations": checker.count(violations),
                  "details": [{"rule": entry.rule, "when": self.when(entry.when), "detail": entry.detail} for entry in violations[:60]], "defects": defects, "power_loss": self.options.power_loss or "off",
                  "faults": [{"kind": span.kind, "begin": self.when(span.begin), "end": self.when(span.end), "hit": sorted(span.hit)} for span in sorted(history.faults, key=lambda span: span.begin)],
                  "applied": dict(self.injector.applied), "closing": self.closing.kind if self.closing else "", "closed_at": self.when(history.closed_at or 0.0), "network": self.network, "disks_lost": self.injector.disks_lost,
                  "judged": checker.judged(history), "answers": self.answers(), "largest_routes": max((len(change.routes) for change in history.changes.values()), default=0), "changes": len(history.changes), "acknowledged": len(acknowledged), "attempts": len(history.attempts), "evacuation_orders": len(history.evacuations), "reads": len(history.reads),
                  "reads_answered": len(reads), "slowest_read_s": round(max(reads, default=0.0), 2), "probes": len(history.probes), "probe_answers": dict(sorted(collections.Counter(str(probe.status) for probe in history.probes).items())),
                  "longest_probe_s": round(max((probe.end - probe.begin for probe in history.probes), default=0.0), 2), "metrics_pages": self.observers.pages_read,
                  "invariant_lines": self.observers.counter_lines_seen, "processes": len(self.cluster.processes), **self.figures}
        with open(f"{self.folder}/report.json", "w", encoding="utf-8") as stream:
            json.dump(result, stream, indent=1)
        if result["clean"] and not self.options.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        return result


def run_seed(seed, options):
    return Run(seed, options).execute()
