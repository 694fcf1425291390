#!/usr/bin/env python3
"""The checker of the soak finds what is wrong in made-up histories, and nothing in a right one."""
import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
sys.path.insert(0, os.path.join(ROOT, "tools", "soak"))
import checker  # noqa: E402
import documents  # noqa: E402
import history as records  # noqa: E402
import observers  # noqa: E402


def change(identity, number, expected, valid=True, routes=()):
    return records.Change(identity, "operator-1", number, expected, valid, f"content-{identity}", frozenset({f"/marker/{identity}/", *routes}))


def attempt(identity, begin, status, end=None, node="trellis-m01"):
    return records.Attempt(identity, node, begin, begin + 0.1 if end is None else end, status)


def read(number, identity, begin, status=200):
    return records.Read("trellis-m02", begin, begin + 0.05, status, number, f"content-{identity}")


def right():
    """Three changes, reads behind them, a furrow that follows, and a final reading."""
    history = records.History()
    history.formed_at = 0.0
    for entry in (change("a", 1, 0, routes=["/old/"]), change("b", 2, 1, routes=["/old/", "/new/"]), change("c", 3, 2, routes=["/new/"])):
        history.add_change(entry)
    history.add_change(change("wrong", 2, 1, valid=False))
    for entry in (attempt("a", 10, 200), attempt("wrong", 15, 400), attempt("b", 20, 0, end=21.0), attempt("b", 21.1, 200), attempt("c", 30, 200), attempt("c", 31, 200)):
        history.add(entry)
    for entry in (read(1, "a", 12), read(2, "b", 24), read(3, "c", 33), read(3, "c", 40)):
        history.add(entry)
    for begin, route, status in ((16, "/marker/a/", 200), (26, "/new/", 200), (36, "/old/", 404), (37, "/marker/c/", 200), (38, "/marker/a/", 404)):
        history.add(records.Probe("furrow-m01", 1, begin, begin + 0.1, route, status))
    history.add(records.RevisionAdopted("furrow-m01", 1, 1))
    history.add(records.RevisionAdopted("furrow-m01", 1, 3))
    history.add(records.RevisionAdopted("furrow-m01", 2, 3))
    history.closed_at = 50.0
    history.final = records.FinalRead(65.0, 65.2, read(3, "c", 65.0))
    return history


class Checker(unittest.TestCase):
    def rules(self, history):
        return {violation.rule for violation in checker.check(history)}

    def found(self, rule, history):
        self.assertIn(rule, self.rules(history))

    def test_a_right_history_breaks_no_rule(self):
        self.assertEqual(checker.check(right()), [])
        self.assertEqual(set(checker.count([])), set(checker.RULES))
        self.assertEqual(checker.judged(right()), {"reads": 3, "orders": 4, "routes_served": 3, "routes_not_served": 2})

    def test_what_faults_leave_unjudged_is_not_counted(self):
        history = right()
        history.add(records.FaultSpan("kill_core", 5, 45, True, frozenset()))
        self.assertEqual(checker.judged(history), {"reads": 3, "orders": 0, "routes_served": 0, "routes_not_served": 0})

    def test_no_answer_at_the_end(self):
        history = right()
        history.final = records.FinalRead(65.0, 125.0, None)
        self.assertEqual(self.rules(history), {"final_no_answer"})
        history.final = records.FinalRead(65.0, 73.0, records.Read("trellis-m01", 72.0, 73.0, 200, 3, "content-c"))
        self.assertEqual(self.rules(history), {"final_no_answer"})
        self.assertIn("8.0 s", checker.check(history)[0].detail)

    def test_an_older_one_at_the_end(self):
        history = right()
        history.final.read = read(2, "b", 65)
        self.assertEqual(self.rules(history), {"final_older"})

    def test_other_content_at_the_end(self):
        history = right()
        history.final.read = read(3, "b", 65)
        self.assertEqual(self.rules(history), {"final_content"})

    def test_a_newer_one_whose_answer_was_lost_is_right_at_the_end(self):
        history = right()
        history.add_change(change("d", 4, 3))
        history.add(attempt("d", 49.9, 0, end=50.5))
        history.final.read = read(4, "d", 65)
        self.assertEqual(checker.check(history), [])

    def test_an_old_read(self):
        history = right()
        history.add(read(2, "b", 34.2))
        self.assertEqual(self.rules(history), {"stale_read"})
        history = right()
        history.add(read(2, "b", 33.9))  # apply_s is not over
        self.assertEqual(checker.check(history), [])
        history.add(read(0, "", 45, status=404))
        self.assertEqual(self.rules(history), {"stale_read"})

    def test_an_invalid_one_in_force(self):
        history = right()
        history.add(read(2, "wrong", 23))
        self.assertLessEqual({"refused_in_force", "read_content"}, self.rules(history))
        history = right()
        history.add(attempt("wrong", 16, 200))
        self.assertLessEqual({"invalid_acknowledged", "refused_and_acknowledged"}, self.rules(history))

    def test_a_refused_one_in_force(self):
        history = right()
        history.add_change(change("raced", 3, 2))
        history.add(attempt("raced", 30.2, 412))
        self.assertEqual(checker.check(history), [])
        history.add(read(3, "raced", 32))
        self.found("refused_in_force", history)

    def test_content_that_nobody_sent(self):
        history = right()
        history.add(read(3, "nobody", 34))
        self.found("read_content", history)

    def test_two_on_one_version(self):
        history = right()
        history.add_change(change("d", 4, 2))
        history.add(attempt("d", 30.3, 200))
        history.final.read = read(4, "d", 65)
        self.found("two_on_one_version", history)

    def test_two_with_one_number(self):
        history = right()
        history.add_change(change("d", 3, None))
        history.add(attempt("d", 30.3, 200))
        self.found("two_with_one_number", history)

    def test_acknowledged_and_then_refused(self):
        history = right()
        history.add(attempt("c", 35, 412))
        self.assertEqual(self.rules(history), {"acknowledged_then_refused"})
        history = right()  # another came in between
        history.add(attempt("a", 35, 412))
        self.assertEqual(checker.check(history), [])

    def test_refused_without_cause(self):
        history = right()
        history.add_change(change("d", 4, 3))
        history.add(attempt("d", 40, 412))
        self.assertEqual(self.rules(history), {"refused_without_cause"})

    def test_routes(self):
        history = right()
        history.add(records.Probe("furrow-m02", 1, 36, 36.1, "/new/", 404))
        self.assertEqual(self.rules(history), {"route_not_served"})
        history = right()
        history.add(records.Probe("furrow-m02", 1, 36, 36.1, "/old/", 200))
        self.assertEqual(self.rules(history), {"route_still_served"})

    def test_routes_while_something_is_wrong_are_not_judged(self):
        for core, hit in ((True, "trellis-m03"), (False, "furrow-m02")):
            history = right()
            history.add(records.FaultSpan("kill_one", 30.5, 31.0, core, frozenset({hit})))
            history.add(records.Probe("furrow-m02", 1, 36, 36.1, "/new/", 404))
            self.assertEqual(checker.check(history), [])
        history = right()  # another furrow was hit
        history.add(records.FaultSpan("kill_furrows", 30.5, 31.0, False, frozenset({"furrow-m01"})))
        history.add(records.Probe("furrow-m02", 1, 36, 36.1, "/new/", 404))
        self.found("route_not_served", history)

    def test_routes_of_a_change_under_way_are_not_judged(self):
        history = right()
        history.add_change(change("d", 4, 3))
        history.add(attempt("d", 35, 0))
        history.closed_at = 42.0  # before the order was late
        for route, status in (("/new/", 404), ("/marker/d/", 200), ("/marker/d/", 404)):
            history.add(records.Probe("furrow-m02", 1, 36, 36.1, route, status))
        self.assertEqual(checker.check(history), [])
        history.add(records.Probe("furrow-m03", 1, 39, 39.1, "/marker/b/", 200))
        self.assertEqual(self.rules(history), {"route_still_served"})

    def test_a_furrow_that_goes_back(self):
        history = right()
        history.add(records.RevisionAdopted("furrow-m01", 2, 2))
        self.assertEqual(self.rules(history), {"furrow_went_back"})
        history = right()
        history.add(records.FaultSpan("cut_halves", 30, 45, True, frozenset()))  # also while routes are not judged
        history.add(records.Probe("furrow-m01", 1, 37.5, 37.6, "/marker/b/", 200))
        self.assertEqual(self.rules(history), {"furrow_went_back"})

    def test_late_orders(self):
        history = right()
        history.add_change(change("d", 4, 3))
        history.add(attempt("d", 40, 503))
        history.add(attempt("d", 48.2, 200))
        history.final.read = read(4, "d", 65)
        self.assertEqual(self.rules(history), {"order_late"})
        history.add(records.FaultSpan("pause_core", 42, 43, True, frozenset({"trellis-m01"})))
        self.assertEqual(checker.check(history), [])
        history = right()
        history.add(records.EvacuationOrder("zone-1", True, "trellis-m01", 36, 37, 0, "e"))
        self.assertEqual(self.rules(history), {"order_late"})
        history.closed_at = 38.0  # the run ended before
        self.assertNotIn("order_late", self.rules(history))

    def test_invariants_and_ends(self):
        history = right()
        history.add(records.InvariantReport("trellis-m01", 5.0, "x"))
        history.add(records.ProcessExit("furrow-m01", 5.0, -6))
        self.assertEqual(self.rules(history), {"invariant", "process_ended"})
        history.add(records.ProcessExit("furrow-m01", 5.0, -6, told=True))
        self.assertEqual(self.rules(history), {"invariant", "process_ended", "stop_defect"})


class Observers(unittest.TestCase):
    def test_counters_above_zero(self):
        name = observers.VIOLATIONS
        page = f'# TYPE {name} counter\n{name}{{rule="one"}} 0\n{name}{{rule="two"}} 3\nother 4\n'
        lines, broken = observers.violations_in(page)
        self.assertEqual((len(lines), broken), (2, [f'{name}{{rule="two"}} 3']))
        self.assertEqual(observers.violations_in("other 4\n"), ([], []))

    def test_lines_of_logs(self):
        line = "2026-Dec-02 10:00:00.1 E3004 RevisionAdopted furrow/furrow-m01 charter revision 12"
        self.assertEqual(observers.ADOPTED.search(line).group(1), "12")


class Documents(unittest.TestCase):
    def test_a_merge_keeps_places(self):
        first = documents.merged(documents.empty(), documents.patch(1, "x", ["a", "b"], []))
        second = documents.merged(first, documents.patch(2, "y", ["c"], ["a"]))
        self.assertEqual([lane["name"] for lane in second["lanes"]], ["marker", "b", "c"])
        self.assertEqual(documents.routes_of(second), {"/marker/y/", "/b/", "/c/"})
        self.assertEqual(second["number"], 2)


if __name__ == "__main__":
    unittest.main()
