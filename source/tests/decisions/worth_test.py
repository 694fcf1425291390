#!/usr/bin/env python3
"""The tables of tools/decisions, from made-up reports and deploy files."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "tools" / "decisions"))
import measure  # noqa: E402
import worth  # noqa: E402


def report(value=0.8):
    return {"G": value, "parts": [["whole day", 0.75, 0.9]], "fault": None, "breaks": {},
            "classes": [{"name": "ask", "n": 10, "in_aim": 8, "late": 1, "refused": 0, "failed": 1, "worth": 0.85,
                         "p50_ms": 40.0, "p99_ms": 900.0}],
            "windows": [{"name": "0", "worth": 0.99}, {"name": "2", "worth": 0.7}],
            "unserved_by": [["deadline", 1, []]],
            "services": [{"name": "s", "arrivals": 11, "not_run": 1, "ran_badly": 0, "again": 1, "busiest_x": 2.5}],
            "hints": ["5 prompt tokens read"],
            "prices": [["machines", 10.0, 0.1], ["probes", 1.0, 0.0001], ["reads", 5.0, 0.2]]}


class Worth(unittest.TestCase):
    def test_a_table_names_each_loss(self):
        text = "\n".join(worth.table("day", report()))
        self.assertIn("| ask | 10 | 8 | 1 | 0 | 1 | 0.150 | 40 | 900 |", text)
        self.assertIn("0.300 from second 2", text)
        self.assertIn("deadline 1", text)

    def test_prices_are_sorted_and_small_ones_left_out(self):
        self.assertEqual([entry[0] for entry in worth.prices(report())], ["reads", "machines"])


class Measure(unittest.TestCase):
    DEPLOY = 'build = "make"\n[roles.a]\nrun = "target/a"\non = "edge"\n[roles.b]\nrun = "target/b --x"\n'

    def test_options_go_to_every_role_and_to_nothing_else(self):
        text = measure.with_options(self.DEPLOY, "--without owners")
        self.assertIn('run = "target/a --without owners"', text)
        self.assertIn('run = "target/b --x --without owners"', text)
        self.assertIn('build = "make"\n', text)
        self.assertEqual(measure.with_options(self.DEPLOY, ""), self.DEPLOY)

    def test_a_play_without_a_report_is_a_fault_and_no_figure(self):
        mean, least, most, broken, faults = measure.summary([report(0.8), None, report(0.6)])
        self.assertAlmostEqual(mean, 0.7)
        self.assertEqual((least, most, broken, faults), (0.6, 0.8, [], 1))
        self.assertEqual(measure.summary([None])[0], None)


if __name__ == "__main__":
    unittest.main()
