#!/usr/bin/env python3
"""Random crowds of clients that don't behave, several kinds at once, while processes restart and settings and
configurations change, by seed.

  clients_soak.py FOLDER-OF-PROGRAMS --seeds 1..50 [--rounds 6]

After each round all processes live that were not told to end, each has stayed within its memory and descriptors, an
ordinary request is answered, and the configuration is the newest one that was acknowledged. Ends with 1 at a fault.
"""
import argparse
import json
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import clients_test  # noqa: E402
import crowd  # noqa: E402
import misbehaviour as kinds  # noqa: E402
import standin  # noqa: E402

CROWD_MOST = 120  # connections of one crowd
CROWDS_A_ROUND = 3
EVENTS_A_ROUND = 2
GRACE_S = 10
FREEZE_S = 0.7
FURROW, TRELLIS = clients_test.FURROW, clients_test.TRELLIS


def misbehaviours():
    """What a crowd may do: name, port, pieces of one connection."""
    entries = []
    paths = {standin.FRONT: ("/plain/crowd", "POST", clients_test.BODY_BYTES), standin.READY: (standin.READINESS_PATH, "GET", 0),
             standin.DIRECTORY: ("/v1/resolve", "GET", 0), standin.CONTROL: ("/v1/config", "PUT", clients_test.CONFIG_BYTES)}
    for port, (path, method, body_bytes) in paths.items():
        entries += [("silent", port, kinds.silent()), ("head short", port, kinds.unfinished_head(path)), ("head endless", port, kinds.endless_head(path, 1)),
                    ("trailers", port, kinds.endless_trailers(path, method, 2, b"1\r\nx\r\n" if body_bytes > 0 else b"")), ("extension", port, kinds.endless_extension(path, method, "1", 2)),
                    ("last extension", port, kinds.endless_extension(path, method, "0", 2)), ("ahead", port, kinds.sent_ahead(path, 2)),
                    ("far over announced", port, kinds.far_over_announced(path, method, 2)), ("far over sent", port, kinds.far_over_sent(path, method, 4))]
        if body_bytes > 0:
            entries += [("large chunks short", port, kinds.large_chunks_short_of_end(body_bytes, path, method)),
                        ("small chunks short", port, kinds.small_chunks_short_of_end(body_bytes // 4, path, method)),
                        ("length short", port, kinds.length_short_of_end(body_bytes, path, method))]
    entries += [("answers not read", standin.FRONT, kinds.unread_answer()), ("refusals not read", standin.FRONT, kinds.unread_refusals(mebibytes=1)),
                ("slow ahead", standin.FRONT, kinds.sent_ahead(mebibytes=2)), ("frame short", standin.OWN, kinds.unfinished_frame()),
                ("frame mostly sent", standin.OWN, kinds.unfinished_frame(sent=2 << 20)), ("frame silent", standin.OWN, kinds.silent())]
    return entries


class Run(clients_test.Case):
    """One seed's run on a fleet of its own; a failed check raises AssertionError."""

    charter = clients_test.charter(header_wait_ms=3000, idle_ms=4000)

    def __init__(self, seed):
        super().__init__("runTest")
        self.random, self.revision, self.watches, self.frozen = random.Random(seed), 5, {}, []

    def runTest(self):
        """The checks are made by soak()."""

    def soak(self, rounds):
        for name in self.plan["processes"]:
            self.begin_watch(name)
        lasting = []
        for number in range(rounds):
            crowds = [self.begin_crowd() for _ in range(self.random.randint(1, CROWDS_A_ROUND))]
            try:
                for _ in range(self.random.randint(0, EVENTS_A_ROUND)):
                    time.sleep(self.random.uniform(0, 0.6))
                    self.event()
                time.sleep(self.random.uniform(0.2, 1.2))
                self.check_round(f"round {number}, crowds {[begun.label for begun in crowds + lasting]}")
            finally:
                # Some callers go on using their connections in the next round.
                ending = lasting
                lasting = crowds if self.random.random() < 0.5 else []
                for begun in ending + ([] if lasting else crowds):
                    begun.close()
        for begun in lasting:
            begun.close()
        self.check_round("afterwards")

    def begin_watch(self, name):
        self.watches.setdefault(name, []).append(self.watch(name))

    def misbehaviours(self):
        return misbehaviours()

    def begin_crowd(self):
        label, port, parts = self.random.choice(self.misbehaviours())
        count = self.random.randint(10, CROWD_MOST)
        reads, reopens = self.random.random() < 0.3, self.random.choice([0, 0, 3])
        begun = crowd.Crowd([crowd.Client((self.ip, port), parts, reads, reopens) for _ in range(count)])
        begun.label = f"{count} x {label} at {port}"
        begun.thread.start()
        return begun

    def event(self):
        name = self.random.choice(list(self.plan["processes"]))
        self.random.choice([self.restart, self.kill, self.freeze, self.reread, self.change])(name)

    def restart(self, name):
        process = self.fleet.running[name]
        process.send_signal(signal.SIGTERM)
        assert process.wait(GRACE_S) == 0, f"{name} ended with {process.returncode} after SIGTERM"
        self.start_again(name)

    def kill(self, name):
        self.fleet.kill(name)
        self.start_again(name)

    def start_again(self, name):
        self.plan["processes"][name]["settings"]["bootstrap"] = False
        self.fleet.start(name)
        self.begin_watch(name)

    def freeze(self, name):
        self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        self.fleet.signal(name, signal.SIGCONT)

    def reread(self, name):
        self.fleet.write(name)
        self.fleet.signal(name, signal.SIGHUP)

    def change(self, _name):
        """A change of the configuration, sent again until its outcome is clear, as operators do."""
        document = self.next_charter()
        status = standin.until(lambda: self.put(document, self.revision) in (200, 412), clients_test.PATIENCE_S)
        assert status, f"revision {document['revision']} is not acknowledged"
        self.revision += 1

    def next_charter(self):
        return clients_test.charter(self.revision + 1, header_wait_ms=self.random.choice([2000, 3000]), idle_ms=4000)

    def current(self):
        status, text = self.ask(standin.CONTROL, "GET", "/v1/config")
        return json.loads(text)["revision"] if status == 200 else None

    def check_round(self, label):
        for port in (standin.FRONT, standin.READY, standin.DIRECTORY, standin.CONTROL):
            assert self.ordinary(port), f"{label}: no answer at {port}"
        assert standin.until(lambda: self.current() == self.revision), f"{label}: revision {self.current()} of {self.revision}"
        for name, process in self.fleet.running.items():
            assert process.poll() is None, f"{label}: {name} has ended: {self.fleet.text[name][-2000:]}"
            assert "E1020" not in self.fleet.text[name], f"{label}: {name} broke an invariant"
            for watch in self.watches[name]:
                sockets = clients_test.DESCRIPTORS - clients_test.DESCRIPTORS_FOR_FILES
                assert watch.most_sockets <= sockets, f"{label}: {name} had {watch.most_sockets} sockets of {sockets}"
                memory = clients_test.MEMORY_MB << 20
                assert watch.most_bytes <= memory, f"{label}: {name} had {watch.most_bytes >> 10} KiB of {memory >> 10}, {watch.most_unread >> 10} not read"


def seeds_of(text):
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def main(run_class=Run):
    options = argparse.ArgumentParser()
    options.add_argument("programs")
    options.add_argument("--seeds", default="1")
    options.add_argument("--rounds", type=int, default=6)
    given = options.parse_args()
    clients_test.PROGRAMS = clients_test.fleet_test.PROGRAMS = os.path.abspath(given.programs)
    failed = []
    for seed in seeds_of(given.seeds):
        run = run_class(seed)
        try:
            run.setUp()
            run.soak(given.rounds)
            print(f"seed {seed}: good", flush=True)
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
        finally:
            run.doCleanups()
    print(f"{len(seeds_of(given.seeds)) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
