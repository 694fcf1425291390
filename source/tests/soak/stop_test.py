#!/usr/bin/env python3
"""Processes that are told to end (SIGTERM) end with 0, also with connections open to colleagues:
stop_test.py FOLDER-OF-PROGRAMS."""
import os
import signal
import sys
import tempfile
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
sys.path.insert(0, os.path.join(ROOT, "tools", "soak"))
import cluster as clusters  # noqa: E402
import documents  # noqa: E402
import history as records  # noqa: E402
import json  # noqa: E402

PROGRAMS = ""
FURROWS = 6
PATIENCE_S = 30
GRACE_S = 12


class Stop(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = clusters.Cluster(folder.name, PROGRAMS, FURROWS, 1, records.History(), "")
        self.addCleanup(self.cluster.end)
        self.cluster.start_helpers()
        for name in self.cluster.processes:
            self.cluster.start(name)

    def until(self, holds):
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end and not holds():
            time.sleep(0.05)
        self.assertTrue(holds())

    def put(self):
        document = documents.merged(documents.empty(), documents.patch(1, "first", ["a"], []))
        node = self.cluster.trellises()[0]
        return clusters.call(f"{node.own_ip}:{clusters.CONTROL_PORT}", "PUT", "/charter", json.dumps(document), timeout=5)[0] == 200

    def ready(self):
        return all(clusters.call(f"{furrow.own_ip}:{clusters.READY_PORT}", "GET", "/-/ready")[0] == 200 for furrow in self.cluster.furrows())

    def test_all_end_with_0(self):
        self.until(self.put)
        self.until(self.ready)
        codes = {}
        for process in list(self.cluster.processes.values()):
            process.popen.send_signal(signal.SIGTERM)
            codes[process.name] = process.popen.wait(GRACE_S)
            process.popen = None
            self.cluster.start(process.name)
        self.assertEqual({name: code for name, code in codes.items() if code != 0}, {})


if __name__ == "__main__":
    PROGRAMS = os.path.abspath(sys.argv.pop(1))
    unittest.main()
