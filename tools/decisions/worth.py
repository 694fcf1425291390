#!/usr/bin/env python3
"""Where the worth of a day is lost: one table from the reports that a bench writes with `--report`.

    worth.py REPORT.json [REPORT.json ...]

For each report: worth lost by kind of request, by window of time, by cause, and by price. The figures are the bench's
own; this program only puts them beside each other, so that two runs, or two sites, can be compared.
"""
import argparse
import json
import pathlib
import sys

LEAST_PRICE = 0.0005  # smaller prices are left out of the table
WINDOWS_SHOWN = 5


def class_rows(report):
    """Rows of kind, requests, within aim, late, refused, failed, share of the worth that was lost, p50 and p99."""
    rows = []
    for entry in report["classes"]:
        rows.append((entry["name"], entry["n"], entry["in_aim"], entry["late"], entry["refused"], entry["failed"],
                     1 - entry["worth"], entry["p50_ms"], entry["p99_ms"]))
    return rows


def worst_windows(report):
    """The windows with the largest share of worth lost, worst first: (second it begins at, share lost)."""
    windows = [(entry["name"], 1 - entry["worth"]) for entry in report["windows"]]
    return sorted(windows, key=lambda entry: -entry[1])[:WINDOWS_SHOWN]


def prices(report):
    """Prices that were taken off, dearest first: (name, amount, worth)."""
    paid = [(name, amount, worth) for name, amount, worth in report["prices"] if worth >= LEAST_PRICE]
    return sorted(paid, key=lambda entry: -entry[2])


def table(title, report):
    lines = [f"### {title}: worth {report['G']:.3f}", ""]
    parts = ", ".join(f"{name} {share:.3f} (weight {weight})" for name, weight, share in report["parts"])
    lines += [f"Parts: {parts}.", ""]
    lines += ["| kind | requests | in aim | late | refused | failed | worth lost | p50 ms | p99 ms |",
              "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for name, count, in_aim, late, refused, failed, lost, p50, p99 in class_rows(report):
        lines.append(f"| {name} | {count} | {in_aim} | {late} | {refused} | {failed} | {lost:.3f} "
                     f"| {p50:.0f} | {p99:.0f} |")
    windows = ", ".join(f"{lost:.3f} from second {begin}" for begin, lost in worst_windows(report))
    lines += ["", f"Worst windows (share lost): {windows}."]
    causes = ", ".join(f"{entry[0]} {entry[1]}" for entry in report["unserved_by"]) or "none"
    lines.append(f"Not served, by what ended the last try: {causes}.")
    attempts = "; ".join(
        f"{entry['name']} {entry['arrivals']} arrivals, {entry['not_run']} not run, {entry['ran_badly']} ran badly, "
        f"{entry['again']} again, busiest worker {entry['busiest_x']:.1f} times the mean"
        for entry in report["services"])
    lines.append(f"At the workers: {attempts}.")
    lines.append(f"Prompts: {report['hints'][0] if report['hints'] else 'not told'}.")
    lines += ["", "| price | amount | worth |", "| --- | --- | --- |"]
    for name, amount, worth in prices(report):
        lines.append(f"| {name} | {amount:.3f} | {worth:.4f} |")
    broken = ", ".join(sorted(report["breaks"])) or "none"
    lines += ["", f"Rules broken: {broken}. Fault: {report['fault'] or 'none'}.", ""]
    return lines


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    for path in parser.parse_args().reports:
        report = json.loads(path.read_text())
        print("\n".join(table(path.stem, report)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
