#!/usr/bin/env python3
"""Tests of the arithmetic behind docs/CAPACITY.md (tools/scale/page.py)."""
import json
import os
import sys
import tempfile
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..")
sys.path.insert(0, os.path.join(ROOT, "tools", "scale"))
import page  # noqa: E402

SIZES = [(n, w) for n in (24, 96, 300) for w in (48, 200, 600)]


class Page(unittest.TestCase):
    def test_finds_the_slopes_that_made_the_figures(self):
        rows = [[term(n, w) for _, term in page.TERMS] for n, w in SIZES]
        true = [0.01, 2e-5, 1e-5, 6e-7, 8e-8]
        values = [sum(a * b for a, b in zip(row, true)) for row in rows]
        found = page.fit(rows, values)
        self.assertLess(page.error_of(rows, values, found), 1e-3)
        self.assertAlmostEqual(page.at(found, 410, 600) / page.at(true, 410, 600), 1, places=2)

    def test_no_slope_is_below_zero(self):
        rows = [[term(n, w) for _, term in page.TERMS] for n, w in SIZES]
        values = [10 - 0.01 * n for n, _ in SIZES]
        self.assertTrue(all(slope >= 0 for slope in page.fit(rows, values)))

    def test_figures_of_nothing_have_no_slopes(self):
        self.assertEqual(page.fit([[1.0, 2.0]], [0.0]), [0.0, 0.0])

    def test_runs_with_unanswered_asks_give_no_slope(self):
        self.assertEqual(page.usable([{"unanswered": 1}, {"unanswered": None}, {"unanswered": 0}]), [{"unanswered": 0}])

    def test_a_bound_that_is_passed_is_said_so(self):
        self.assertEqual(page.verdict(1, 2), "fits")
        self.assertIn("2.0 times too much", page.verdict(4, 2))

    def test_the_page_is_what_its_runs_give(self):
        with tempfile.TemporaryDirectory() as folder:
            made = os.path.join(folder, "page.md")
            page.run("page", [os.path.join(ROOT, "tools", "scale", "runs.json"), os.path.join(ROOT, "tools", "scale", "capacity.md.in"), made])
            with open(made, encoding="utf-8") as one, open(os.path.join(ROOT, "docs", "CAPACITY.md"), encoding="utf-8") as other:
                text = one.read()
                self.assertEqual(text, other.read())
                self.assertNotIn("{{", text)

    def test_every_change_counts_and_those_refused_do_not(self):
        process = {"processor": 0.1, "peak_mb": 1, "frames_per_s": {"NewsAnswer": [0, 0, 1, 100]}}
        busy = {"processor": 0.3, "peak_mb": 1, "frames_per_s": {"NewsAnswer": [0, 0, 1, 300]}}
        entry = {"furrows": 1, "quiet": {"processes": {"gourd": process}}, "changing": {"seconds": 10, "changes": [{"revision": 2}, {"revision": 0}, {"revision": 3}], "processes": {"gourd": busy}}}
        self.assertEqual(page.change_cost(json.loads(json.dumps([entry])), "furrow", "bytes"), [(1, 1000.0)])


if __name__ == "__main__":
    unittest.main()
