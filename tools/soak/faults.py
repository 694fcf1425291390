"""Faults of one run: what is drawn from a seed, and how each is brought about.

A run has bursts of two or three faults that overlap, with calm between them, and a closing
fault right behind an answer of yes; on every other seed a late burst is under way then, and on
every fourth disks are lost two by two all the time, also while other faults are in force. At most
two disks count as lost at any time: each does until its process was up for DISK_BACK_S and nothing
else was wrong with the core meanwhile, so that it could take the new one in; by time alone: until its
process was up for DISK_BACK_S.
"""
import collections
import dataclasses
import random
import threading
import time

import history as records

DISK_BACK_S = 6.0
CALM_S = 10.0
BURST_S = 8.0
FIRST_S = 2.0
DISKS_AT_ONCE = 2
CHAIN_SLACK_S = 0.2
LATE_S = 2.0  # the late burst begins this long before the closing fault
OTHER_SEEDS = 0.3  # share of restarts with other seeds
KINDS = ("kill_one", "kill_several", "kill_core", "kill_all", "kill_furrows", "stop_some", "pause_core", "pause_furrows", "cut_machine", "cut_one_way", "cut_halves", "cut_zone", "lose_operator_answers",
         "lose_core_answers", "lose_disk")
GRACE_S = 9.0  # from SIGTERM to SIGKILL
CLOSINGS = ("power", "power_and_disks", "kill_all")
OPERATORS = ("operator-1", "operator-2")


@dataclasses.dataclass
class Fault:
    kind: str
    at: float  # seconds behind the beginning
    seconds: float
    machines: tuple = ()
    processes: tuple = ()
    disks: tuple = ()
    restart_after: dict = dataclasses.field(default_factory=dict)  # process: seconds
    other_seeds: tuple = ()
    ways: tuple = ("from", "to")


def opposite(core):
    """Two halves of the core."""
    return core[:len(core) // 2], core[len(core) // 2:]


class Planner:
    def __init__(self, seed, cluster, seconds, kinds=KINDS):
        self.random = random.Random(f"faults {seed}")
        self.seed, self.cluster, self.seconds, self.kinds = seed, cluster, seconds, kinds
        self.trellises = [process.name for process in cluster.trellises()]
        self.furrows = [process.name for process in cluster.furrows()]
        # Each kind comes in turn over the seeds, so that all of them happen.
        self.turn = seed * 5

    def plan(self):
        faults, begin = [], FIRST_S
        while begin + BURST_S + CALM_S <= self.seconds + 0.01 or not faults:
            faults += self.burst(begin, DISKS_AT_ONCE if self.chains_disks() else 0)
            begin += BURST_S + CALM_S
        return sorted(faults + self.disk_chain(), key=lambda fault: fault.at)

    def late_burst(self):
        """Faults that go on while the closing one strikes, on every other seed; no disk is lost in them."""
        if self.seed % 2 == 0:
            return []
        return sorted(self.burst(self.seconds - LATE_S, DISKS_AT_ONCE), key=lambda fault: fault.at)

    def chains_disks(self):
        return self.seed % 4 == 3

    def has_calm(self):
        """Whether there is time in which the core is settled while operators are at work."""
        return not self.chains_disks() and self.seconds >= FIRST_S + BURST_S + CALM_S

    def disk_chain(self):
        """On every fourth seed: two disks, and two more as soon as these may be lost, through all the day."""
        if not self.chains_disks():
            return []
        chain, at = [], FIRST_S
        while at < self.seconds:
            fault = Fault("lose_disk", at, 0.0, disks=tuple(self.random.sample(self.trellises, DISKS_AT_ONCE)))
            self.restart(fault, fault.disks)
            chain.append(fault)
            at += fault.seconds + DISK_BACK_S + CHAIN_SLACK_S
        return chain

    def burst(self, begin, disks=0):
        faults = []
        for _ in range(self.random.choice((2, 3, 3))):
            kind = self.kinds[self.turn % len(self.kinds)] if self.random.random() < 0.6 else self.random.choice(self.kinds)
            self.turn += 1
            at = begin + self.random.uniform(0, 2.5)
            fault = self.draw(kind, at, begin + BURST_S - at, DISKS_AT_ONCE - disks)
            disks += len(fault.disks)
            faults.append(fault)
        return faults

    def draw(self, kind, at, most, disks):
        fault = Fault(kind, at, min(most, self.random.uniform(1.0, 8.0)))
        if kind == "lose_disk" and disks == 0:
            fault.kind = kind = "kill_several"
        if kind == "lose_disk":
            fault.disks = tuple(self.random.sample(self.trellises, self.random.randint(1, disks)))
            self.restart(fault, fault.disks)
        elif kind == "stop_some":
            names = self.random.sample(self.trellises, self.random.randint(1, 2)) + self.random.sample(self.furrows, 1)
            self.restart(fault, names)
        elif kind.startswith("kill"):
            count = self.random.randint(2, 4)
            hit = {"kill_one": self.random.sample(self.trellises, 1), "kill_several": self.random.sample(self.trellises, count), "kill_core": self.trellises,
                   "kill_all": self.trellises + self.furrows, "kill_furrows": self.random.sample(self.furrows, max(1, len(self.furrows) // 2))}[kind]
            self.restart(fault, hit)
        elif kind.startswith("pause"):
            names = self.trellises if kind == "pause_core" else self.furrows
            fault.processes = tuple(self.random.sample(names, self.random.randint(1, max(1, len(names) // 2))))
            fault.seconds = min(most, self.random.choice((self.random.uniform(0.2, 2.0), self.random.uniform(2.0, 8.0))))
        elif kind in ("cut_machine", "cut_one_way", "lose_core_answers"):
            fault.machines = (self.random.choice(self.cluster.core),)
            fault.ways = self.random.choice((("from",), ("to",))) if kind == "cut_one_way" else ("from", "to")
        elif kind == "cut_zone":
            zone = self.random.choice(self.cluster.zones)
            fault.machines = tuple(machine for machine, place in self.cluster.machines.items() if place == zone)
        elif kind == "lose_operator_answers":
            fault.machines = tuple(self.random.sample(self.cluster.core, self.random.randint(2, len(self.cluster.core))))
        return fault

    def restart(self, fault, names):
        together = self.random.random() < 0.5
        span = self.random.uniform(0.1, 2.0)
        fault.processes = tuple(names)
        fault.restart_after = {name: span if together else self.random.uniform(0.1, 2.0) for name in names}
        fault.other_seeds = tuple(name for name in names if self.random.random() < OTHER_SEEDS)
        fault.seconds = max(fault.restart_after.values())

    def closing(self):
        kind = CLOSINGS[self.seed % len(CLOSINGS)]
        fault = Fault(kind, 0.0, 0.0)
        if kind == "power_and_disks":
            fault.disks = tuple(self.random.sample(self.trellises, DISKS_AT_ONCE))
        self.restart(fault, self.trellises + self.furrows)
        return fault

    def closing_delay(self):
        return self.random.uniform(0, 0.005)


class Links:
    """Cuts and losses between machines; one that two faults brought about lasts until both end."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.lock = threading.Lock()
        self.held = collections.Counter()

    def hold(self, deed, pairs):
        with self.lock:
            for one, other in pairs:
                self.held[deed, one, other] += 1
                self.cluster.link(deed, one, other)

    def release(self, deed, pairs):
        with self.lock:
            for one, other in pairs:
                self.held[deed, one, other] -= 1
                if self.held[deed, one, other] > 0:
                    continue
                self.cluster.link("heal", one, other)
                for still in ("cut", "lose"):  # healing takes both away
                    if self.held[still, one, other] > 0:
                        self.cluster.link(still, one, other)


class Injector:
    """Brings the faults of a plan about, each in a thread of its own, and notes when and whom they hit."""

    def __init__(self, cluster, history, disks_by_time=False):
        self.cluster, self.history, self.disks_by_time = cluster, history, disks_by_time
        self.core_faults = 0  # in force now
        self.quiet_since = 0.0  # the last one that ended
        self.links = Links(cluster)
        self.applied = collections.Counter()
        self.count = 0
        self.defects = []
        self.lost = set()  # processes whose disks count as lost
        self.disks_lost = 0

    def pairs(self, fault):
        """Links that a fault is about."""
        core, inside = self.cluster.core, set(fault.machines)
        if fault.kind == "cut_halves":
            left, right = opposite(core)
            return [(one, other) for one in left for other in right] + [(one, other) for one in right for other in left]
        if fault.kind == "lose_operator_answers":
            return [(machine, operator) for machine in fault.machines for operator in OPERATORS]
        if fault.kind == "lose_core_answers":
            return [(machine, other) for machine in fault.machines for other in core if other != machine]
        outside = [machine for machine in self.cluster.machines if machine not in inside]
        leaving = [(one, other) for one in fault.machines for other in outside]
        return (leaving if "from" in fault.ways else []) + ([(other, one) for one, other in leaving] if "to" in fault.ways else [])

    def hit(self, fault, pairs):
        """Names of the processes that may notice it; answers that operators lose hit none."""
        if fault.kind == "lose_operator_answers":
            return frozenset()
        core_only = fault.kind in ("cut_halves", "lose_core_answers")
        machines = {machine for pair in pairs for machine in pair} if core_only else set(fault.machines)
        touched = self.cluster.trellises() if core_only else self.cluster.processes.values()
        return frozenset(fault.processes) | {process.name for process in touched if process.machine in machines}

    def touches_core(self, hit):
        return any(name.startswith("trellis") for name in hit)

    def apply(self, fault):
        self.count += 1
        identity = self.count
        self.applied[fault.kind] += 1
        pairs = self.pairs(fault) if fault.kind.startswith(("cut", "lose")) else []
        hit = self.hit(fault, pairs)
        self.count_core(hit, 1)
        begin = time.monotonic()
        disks = self.bring_about(fault, identity, pairs)
        end = time.monotonic()
        self.count_core(hit, -1)
        self.history.add(records.FaultSpan(fault.kind, begin, end + (DISK_BACK_S if disks else 0.0), self.touches_core(hit), hit))

    def count_core(self, hit, change):
        with self.cluster.lock:
            if self.touches_core(hit):
                self.core_faults += change
                self.quiet_since = time.monotonic() if change < 0 else self.quiet_since

    def bring_about(self, fault, identity, pairs):
        """Lasts as long as the fault; gives the processes whose disks it took."""
        if fault.restart_after:
            return self.kill_and_restart(fault, identity)
        if pairs:
            deed = "lose" if fault.kind.startswith("lose") else "cut"
            self.links.hold(deed, pairs)
            time.sleep(fault.seconds)
            self.links.release(deed, pairs)
        else:
            self.cluster.pause(fault.processes, identity)
            time.sleep(fault.seconds)
            self.cluster.resume(fault.processes, identity)
        return []

    def kill_and_restart(self, fault, identity):
        if fault.kind == "stop_some":
            self.stop_and_wait(fault, identity)
        with self.cluster.lock:
            self.cluster.kill(fault.processes, identity)
            disks = self.losable(fault.disks)
            for name in disks:
                self.cluster.lose_disk(name)
        killed = time.monotonic()
        for name, after in sorted(fault.restart_after.items(), key=lambda entry: entry[1]):
            time.sleep(max(0.0, killed + after - time.monotonic()))
            self.cluster.release([name], identity, fault.other_seeds)
        return disks

    def stop_and_wait(self, fault, identity):
        """SIGTERM, and the time that the platform gives."""
        self.cluster.stop(fault.processes, identity)
        end = time.monotonic() + GRACE_S
        while time.monotonic() < end and any(self.cluster.running(name) for name in fault.processes):
            time.sleep(0.02)

    def losable(self, names):
        """Those of them whose disks may be lost now; they count as lost from now on."""
        since, processes = time.monotonic() - DISK_BACK_S, self.cluster.processes
        quiet = self.disks_by_time or (self.core_faults <= 1 and self.quiet_since <= since)  # one is the fault itself
        self.lost = {name for name in self.lost if not quiet or processes[name].popen is None or processes[name].started_at > since}
        allowed = [name for name in names if name in self.lost]
        for name in names:
            if name not in allowed and len(self.lost) < DISKS_AT_ONCE:
                self.lost.add(name)
                allowed.append(name)
        self.disks_lost += len(allowed)
        return allowed

    def guarded(self, fault):
        try:
            self.apply(fault)
        except (RuntimeError, OSError) as error:
            self.defects.append(f"{fault.kind}: {error}")

    def run(self, plan, began):
        """Returns when the last one ended."""
        threads = []
        for fault in plan:
            time.sleep(max(0.0, began + fault.at - time.monotonic()))
            threads.append(threading.Thread(target=self.guarded, args=(fault,), daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join()
