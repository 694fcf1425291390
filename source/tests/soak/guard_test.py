#!/usr/bin/env python3
"""The soak finds a guard that is off: guard_test.py FOLDER-OF-PROGRAMS (built with -DFINCHLINK_FAULTS=ON).
Disks whose syncs do nothing lose what was acknowledged when all lose power."""
import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
SOAK = os.path.join(ROOT, "tools", "soak", "soak.py")
POWER_SEED = 6  # all lose power at the end; nobody is told to end before
PROGRAMS = ""
LOST = ("final_no_answer", "final_older", "stale_read")


class Guard(unittest.TestCase):
    def soak(self, power_loss):
        with tempfile.TemporaryDirectory() as folder:
            report = os.path.join(folder, "report.json")
            done = subprocess.run([sys.executable, SOAK, "--short", "--seeds", str(POWER_SEED), "--build", PROGRAMS, "--folder", folder, "--report", report, "--power-loss", power_loss],
                                  capture_output=True, text=True, check=False)
            with open(report, encoding="utf-8") as stream:
                return done.returncode, json.load(stream)

    def test_syncs_that_do_nothing_are_found(self):
        code, report = self.soak("ignore-sync")
        self.assertEqual(code, 1)
        self.assertTrue(any(report["violations"][rule] > 0 for rule in LOST), report["violations"])

    def test_syncs_that_are_done_are_not(self):
        code, report = self.soak("hold")
        self.assertEqual(code, 0, report["violations"])


if __name__ == "__main__":
    PROGRAMS = os.path.abspath(sys.argv.pop(1))
    unittest.main()
