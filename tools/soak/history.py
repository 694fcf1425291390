"""What happened in one run, as the checker reads it. Times are seconds of the monotonic clock."""
import dataclasses
import hashlib
import json
import threading
import typing


def digest(document):
    """The same for documents that say the same, however they are printed."""
    return hashlib.sha1(json.dumps(document, sort_keys=True).encode()).hexdigest()[:16]


@dataclasses.dataclass
class Change:
    """A change of the configuration that an operator wants: sent once or again, to one node or more."""
    identity: str
    operator: str
    number: int
    expected: typing.Optional[int]  # If-Match; None: any
    valid: bool
    digest: str  # of the whole document that it makes; empty: not known
    routes: frozenset = frozenset()  # path prefixes that are served once it is in force
    kind: str = "put"


@dataclasses.dataclass
class Attempt:
    """One order as it was sent to one node; status 0: no answer."""
    change: str
    node: str
    begin: float
    end: float
    status: int
    last: bool = False  # the operator stopped behind it without a clear answer, since the run was over


@dataclasses.dataclass
class EvacuationOrder:
    zone: str
    evacuated: bool
    node: str
    begin: float
    end: float
    status: int
    order: str
    last: bool = False


@dataclasses.dataclass
class Read:
    """GET of the configuration at one node. `number` 0: none was put."""
    node: str
    begin: float
    end: float
    status: int
    number: int = 0
    digest: str = ""


@dataclasses.dataclass
class Probe:
    """A query of one route at one furrow; `life` counts the starts of its process."""
    furrow: str
    life: int
    begin: float
    end: float
    route: str
    status: int


@dataclasses.dataclass
class FaultSpan:
    """A fault as it was applied. `core`: control-plane machines are hit; `hit`: names of processes."""
    kind: str
    begin: float
    end: float
    core: bool
    hit: frozenset


@dataclasses.dataclass
class ProcessExit:
    process: str
    when: float
    code: int
    told: bool = False  # by SIGTERM


@dataclasses.dataclass
class InvariantReport:
    process: str
    when: float
    text: str


@dataclasses.dataclass
class RevisionAdopted:
    """A line of a furrow's log: this revision of the configuration is in force."""
    furrow: str
    life: int
    revision: int


@dataclasses.dataclass
class FinalRead:
    """Reading back: asked for from `begin` on until `end`; `read` is the first answer, or none at all."""
    begin: float
    end: float
    read: typing.Optional[Read]


class History:
    """Appended to by several threads; read when they have ended."""

    def __init__(self):
        self.lock = threading.Lock()
        self.changes = {}
        self.attempts = []
        self.evacuations = []
        self.reads = []
        self.probes = []
        self.faults = []
        self.exits = []
        self.invariants = []
        self.adopted = []
        self.final = None
        self.formed_at = 0.0  # all voters vote, and nothing was hit before
        self.closed_at = None  # begin of the closing fault

    def add_change(self, change):
        with self.lock:
            self.changes[change.identity] = change

    def add(self, entry):
        lists = {Attempt: self.attempts, EvacuationOrder: self.evacuations, Read: self.reads, Probe: self.probes, FaultSpan: self.faults, ProcessExit: self.exits,
                 InvariantReport: self.invariants, RevisionAdopted: self.adopted}
        with self.lock:
            lists[type(entry)].append(entry)

    def newest_acknowledged(self):
        """The change with the highest number that was answered 200, and the time of its first such answer."""
        with self.lock:
            best, when = None, 0.0
            for attempt in self.attempts:
                change = self.changes[attempt.change]
                if attempt.status == 200 and (best is None or change.number > best.number):
                    best, when = change, attempt.end
            return best, when
