"""What must hold of a run: the history goes in, broken rules come out. Pure; tested with made-up histories."""
import bisect
import collections
import dataclasses

REFUSED = (400, 412, 413, 422, 409)
CLEAR = (200, *REFUSED)


@dataclasses.dataclass(frozen=True)
class Bounds:
    acknowledge_s: float = 8.0
    apply_s: float = 4.0
    contact_s: float = 6.0
    settle_s: float = 15.0


@dataclasses.dataclass
class Violation:
    rule: str
    when: float
    detail: str


RULES = ("final_no_answer", "final_older", "final_content", "stale_read", "read_content", "invalid_acknowledged", "refused_in_force", "refused_and_acknowledged", "two_on_one_version", "two_with_one_number",
         "acknowledged_then_refused", "refused_without_cause", "route_not_served", "route_still_served", "furrow_went_back", "order_late", "invariant", "process_ended", "stop_defect")


class Settled:
    """When nothing was wrong: with the core, and with one process."""

    def __init__(self, history, bounds):
        self.faults, self.bounds = history.faults, bounds
        self.formed_at = history.formed_at

    def core(self, begin, end):
        """No fault of the core from contact_s before `begin` until `end`."""
        since = begin - self.bounds.contact_s
        return since >= self.formed_at and not any(fault.core and fault.begin < end and fault.end > since for fault in self.faults)

    def process(self, name, begin, end):
        since = begin - self.bounds.contact_s
        return not any(name in fault.hit and fault.begin < end and fault.end > since for fault in self.faults)


def first_ends(history):
    """The first clear answer to each change, and when it was sent first."""
    begun, ended = {}, {}
    for attempt in sorted(history.attempts, key=lambda entry: entry.end):
        begun[attempt.change] = min(begun.get(attempt.change, attempt.begin), attempt.begin)
        if attempt.status in CLEAR and attempt.change not in ended:
            ended[attempt.change] = attempt
    return begun, ended


class Acknowledged:
    """The newest acknowledged change at any time."""

    def __init__(self, history):
        self.times, self.newest = [], []
        best = None
        for attempt in sorted((entry for entry in history.attempts if entry.status == 200), key=lambda entry: entry.end):
            change = history.changes[attempt.change]
            if best is None or change.number > best.number:
                best = change
                self.times.append(attempt.end)
                self.newest.append(change)

    def at(self, when):
        index = bisect.bisect_right(self.times, when)
        return self.newest[index - 1] if index > 0 else None

    def last(self):
        return self.newest[-1] if self.newest else None


def check_final(history, bounds):
    final, newest = history.final, Acknowledged(history).last()
    if final is None or newest is None:
        return []
    read = final.read
    if read is None or read.end > final.begin + bounds.contact_s:
        took = "never" if read is None else f"{read.end - final.begin:.1f} s"
        late = [Violation("final_no_answer", final.begin, f"no configuration in time; version {newest.number} was acknowledged; it took {took}")]
        return late if read is None else late + check_final_content(history, read, newest)
    return check_final_content(history, read, newest)


def check_final_content(history, read, newest):
    if read.number < newest.number:
        return [Violation("final_older", read.begin, f"version {read.number} at {read.node}; version {newest.number} ({newest.identity}) was acknowledged")]
    if read.digest not in contents_under(history, read.number):
        return [Violation("final_content", read.begin, f"version {read.number} at {read.node} has content {read.digest}, sent was {sorted(contents_under(history, read.number))}")]
    return []


def contents_under(history, number):
    """What may stand under a number: what was acknowledged under it, or else all valid changes that were sent with it and not refused."""
    _, ended = first_ends(history)
    sent = [change for change in history.changes.values() if change.number == number and change.valid]
    done = [change for change in sent if change.identity in ended and ended[change.identity].status == 200]
    opened = [change for change in sent if change.identity not in ended]
    return {change.digest for change in (done or opened)}


def check_reads(history, bounds):
    found, acknowledged, contents = [], Acknowledged(history), {}
    for read in history.reads:
        if read.status not in (200, 404):
            continue
        newest = acknowledged.at(read.begin - bounds.apply_s)
        if newest is not None and read.number < newest.number:
            found.append(Violation("stale_read", read.begin, f"{read.node} answered version {read.number}, {newest.number} ({newest.identity}) was acknowledged more than apply_s before"))
        if read.status != 200:
            continue
        if read.number not in contents:
            contents[read.number] = contents_under(history, read.number)
        if read.digest not in contents[read.number]:
            found.append(Violation("read_content", read.begin, f"{read.node}: version {read.number} has content {read.digest}, which no open or acknowledged change made"))
    return found


def check_refusals(history):
    """Invalid, raced and refused ones are never in force, and refusals have a cause."""
    found = []
    begun, ended = first_ends(history)
    refused = {identity: attempt for identity, attempt in ended.items() if attempt.status in REFUSED}
    wrong = {(history.changes[identity].number, history.changes[identity].digest): identity for identity in refused}
    wrong.update({(change.number, change.digest): change.identity for change in history.changes.values() if not change.valid})
    for read in history.reads:
        identity = wrong.get((read.number, read.digest)) if read.status == 200 else None
        if identity is not None:
            found.append(Violation("refused_in_force", read.begin, f"{read.node}: version {read.number} of {identity}, which was refused or invalid"))
    for attempt in history.attempts:
        change = history.changes[attempt.change]
        if attempt.status == 200 and not change.valid:
            found.append(Violation("invalid_acknowledged", attempt.end, f"{change.identity} ({change.kind}) was acknowledged by {attempt.node}"))
        if attempt.status == 200 and attempt.change in refused and refused[attempt.change].end <= attempt.end:
            found.append(Violation("refused_and_acknowledged", attempt.end, f"{change.identity} was refused by {refused[attempt.change].node} before {attempt.node} acknowledged it"))
    for identity, attempt in refused.items():
        change = history.changes[identity]
        if change.valid and not others_after(history, begun, change, change.expected or 0, attempt.end):
            found.append(Violation("refused_without_cause", attempt.end, f"{identity} (version {change.number} on {change.expected}) got {attempt.status} from {attempt.node}, and no other change was sent"))
    return found


def others_after(history, begun, change, number, until):
    """Whether another valid change with a number above `number` was sent before `until`."""
    return any(other.identity != change.identity and other.valid and other.number > number and begun.get(other.identity, until) < until for other in history.changes.values())


def check_acknowledgements(history):
    found, begun = [], first_ends(history)[0]
    first, by_base, by_number = {}, collections.defaultdict(set), collections.defaultdict(set)
    for attempt in sorted(history.attempts, key=lambda entry: entry.end):
        change = history.changes[attempt.change]
        if attempt.status == 200:
            first.setdefault(change.identity, attempt)
            by_number[change.number].add(change.identity)
            if change.expected is not None:
                by_base[change.expected].add(change.identity)
        acknowledged = first.get(change.identity)
        if attempt.status in REFUSED and acknowledged is not None and attempt.begin >= acknowledged.end and not others_after(history, begun, change, change.number, attempt.end):
            found.append(Violation("acknowledged_then_refused", attempt.end, f"{change.identity} got {attempt.status} from {attempt.node} after {acknowledged.node} had acknowledged it"))
    for rule, groups in (("two_on_one_version", by_base), ("two_with_one_number", by_number)):
        for number, identities in groups.items():
            if len(identities) > 1:
                found.append(Violation(rule, max(first[identity].end for identity in identities), f"version {number}: {sorted(identities)}"))
    return found


def orders_of(history):
    """Attempts by order, in the order they were sent."""
    orders = collections.defaultdict(list)
    for attempt in history.attempts:
        orders["change " + attempt.change].append(attempt)
    for attempt in history.evacuations:
        orders["evacuation " + attempt.order].append(attempt)
    return {name: sorted(attempts, key=lambda entry: entry.begin) for name, attempts in orders.items()}


def judged_orders(history, bounds):
    """Orders that were sent while the core was settled, and had their time before the run was closed."""
    settled = Settled(history, bounds)
    for name, attempts in orders_of(history).items():
        begin = attempts[0].begin
        ends = [attempt.end for attempt in attempts if attempt.status in CLEAR]
        until = begin + bounds.acknowledge_s
        cut_short = not ends and history.closed_at is not None and history.closed_at < until
        if settled.core(begin, min([until, *ends])) and not cut_short:
            yield name, attempts, min(ends) if ends else None


def check_orders(history, bounds):
    """Orders while the core is settled are answered in time."""
    found = []
    for name, attempts, end in judged_orders(history, bounds):
        begin = attempts[0].begin
        if end is None or end > begin + bounds.acknowledge_s:
            took = f"{end - begin:.1f} s" if end is not None else "no clear answer"
            found.append(Violation("order_late", begin, f"{name}: {took}, {len(attempts)} attempts, statuses {[attempt.status for attempt in attempts][:12]}"))
    return found


def judged_probes(history, bounds):
    """Clear answers of furrows that nothing had hit, while the core was settled, with the newest change acknowledged apply_s before."""
    settled, acknowledged = Settled(history, bounds), Acknowledged(history)
    for probe in history.probes:
        newest = acknowledged.at(probe.begin - bounds.apply_s)
        if probe.status in (200, 404) and newest is not None and settled.core(probe.begin, probe.end) and settled.process(probe.furrow, probe.begin, probe.end):
            yield probe, newest


def check_probes(history, bounds):
    found = []
    begun, ended = first_ends(history)
    refused = {identity for identity, attempt in ended.items() if attempt.status in REFUSED}
    possible = [change for change in history.changes.values() if change.valid and change.identity in begun and change.identity not in refused]
    for probe, newest in judged_probes(history, bounds):
        newer = [change for change in possible if change.number > newest.number and begun[change.identity] < probe.end]
        serving = [change for change in [newest, *newer] if probe.route in change.routes]
        if probe.status == 404 and len(serving) == 1 + len(newer):
            found.append(Violation("route_not_served", probe.begin, f"{probe.furrow}: 404 for {probe.route}; version {newest.number} ({newest.identity}) was acknowledged more than apply_s before"))
        if probe.status == 200 and not serving:
            found.append(Violation("route_still_served", probe.begin, f"{probe.furrow}: {probe.route} is served; version {newest.number} ({newest.identity}) has it not"))
    return found


def check_furrow_order(history):
    """Within one life a furrow's configurations only get newer: by its log, and by the markers that it served."""
    found, highest = [], {}
    for adopted in history.adopted:
        key = (adopted.furrow, adopted.life)
        if adopted.revision <= highest.get(key, 0):
            found.append(Violation("furrow_went_back", 0.0, f"{adopted.furrow} (life {adopted.life}) adopted revision {adopted.revision} after {highest[key]}"))
        highest[key] = max(adopted.revision, highest.get(key, 0))
    by_marker = {f"/marker/{change.identity}/": change for change in history.changes.values()}
    served = {}
    for probe in sorted(history.probes, key=lambda entry: entry.end):
        change = by_marker.get(probe.route)
        if change is None or probe.status != 200:
            continue
        key = (probe.furrow, probe.life)
        before = served.get(key)
        if before is not None and before[0] > change.number and probe.begin > before[1]:
            found.append(Violation("furrow_went_back", probe.begin, f"{probe.furrow} (life {probe.life}) served version {change.number} after {before[0]}"))
        if before is None or change.number > before[0]:
            served[key] = (change.number, probe.end)
    return found


def check(history, bounds=Bounds()):
    found = check_final(history, bounds) + check_reads(history, bounds) + check_refusals(history) + check_acknowledgements(history)
    found += check_orders(history, bounds) + check_probes(history, bounds) + check_furrow_order(history)
    found += [Violation("invariant", entry.when, f"{entry.process}: {entry.text}") for entry in history.invariants]
    found += [Violation("stop_defect" if entry.told else "process_ended", entry.when, f"{entry.process} ended {'when told to' if entry.told else 'by itself'} with {entry.code}") for entry in history.exits]
    return found


def count(violations):
    counted = collections.Counter(violation.rule for violation in violations)
    return {rule: counted.get(rule, 0) for rule in RULES}


def judged(history, bounds=Bounds()):
    """How much there was to judge, so that a run in which nothing could be found is seen."""
    acknowledged = Acknowledged(history)
    reads = [read for read in history.reads if read.status == 200 and acknowledged.at(read.begin - bounds.apply_s) is not None]
    probes = collections.Counter(probe.status for probe, _ in judged_probes(history, bounds))
    return {"reads": len(reads), "orders": sum(1 for _ in judged_orders(history, bounds)), "routes_served": probes[200], "routes_not_served": probes[404]}
