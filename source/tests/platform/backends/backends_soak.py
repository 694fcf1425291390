#!/usr/bin/env python3
"""Faulty back ends beside clients that don't behave, several kinds at once, while processes restart and settings and
configurations change, by seed.

  backends_soak.py FOLDER-OF-PROGRAMS --seeds 1..50 [--rounds 6]

The workers of one service send without end, each in a way that changes with the rounds; at times the platform's list
does, too. After each round the same is checked as in clients_soak.py.
"""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "clients"))
import backends_test  # noqa: E402
import clients_soak  # noqa: E402
import faults  # noqa: E402
import misbehaviour as kinds  # noqa: E402
import standin  # noqa: E402

FAULTY_ROUTES = ["repeat", "once", "talk", "resume"]
FAULTS = [*faults.HEADS, *faults.BODIES, *faults.STREAMS, *faults.SHORT_ANSWERS, *faults.SHORT_STREAMS]
FAULTS_AT_ONCE = 3
LIST_FAULTS = [*faults.HEADS, *faults.BODIES, backends_test.endless_pages]
LIST_FAULT_SHARE = 0.3


class Run(clients_soak.Run):
    """One seed's run: the crowds of clients_soak.py, and as many callers of faulty workers."""

    charter = backends_test.charter()
    workers = backends_test.Case.workers
    platform_class = backends_test.Platform

    def misbehaviours(self):
        callers = [(f"callers of {route}", standin.FRONT, [kinds.head(f"/{route}/crowd", fields=["Content-Length: 0"]) + b"\r\n"]) for route in FAULTY_ROUTES]
        others = clients_soak.misbehaviours()
        return others + callers * (len(others) // len(callers))

    def begin_crowd(self):
        self.platform.faults = self.random.choices(FAULTS, k=FAULTS_AT_ONCE)
        if self.random.random() < LIST_FAULT_SHARE:
            self.platform.list_fault = self.random.choice(LIST_FAULTS)
        return super().begin_crowd()

    def check_round(self, label):
        self.platform.list_fault = None  # a process that has just started needs the list to serve
        super().check_round(f"{label}, workers {[fault.__name__ for fault in self.platform.faults]}")

    def next_charter(self):
        return {**self.charter, "revision": self.revision + 1}


if __name__ == "__main__":
    clients_soak.main(Run)
