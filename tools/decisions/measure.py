#!/usr/bin/env python3
"""Plays the same days with several variants of the deploy file and compares the worth.

    measure.py --bench PROGRAM --site SITE.toml --days quiet-1,scale-2 --seeds 1,2,3
               --variant base= --variant "no-probe=--without silence_probe" [--no-cpu] [--out FOLDER]

A variant is a name and options that are added to the programs of every role while its days are played; the deploy file
is put back afterwards. A switch that a program doesn't know ends that program, and the day shows it. Prints a table of
mean, least and most worth for each variant and day, and the difference to the first variant. The reports stay in the
folder, for worth.py.
"""
import argparse
import json
import pathlib
import re
import statistics
import subprocess
import sys

DEPLOY = pathlib.Path("deploy/system.toml")


def with_options(deploy, options):
    """The deploy file with options added to each role's command line."""
    return re.sub(r'^(run = "[^"]*)"$', lambda line: f'{line.group(1)} {options}"' if options else line.group(0), deploy,
                  flags=re.MULTILINE)


def play(arguments, name, day, seed):
    """One day; the worth, or None where the bench gave no report."""
    report = arguments.out / f"{arguments.site.stem}-{day}-{seed}-{name}.json"
    report.unlink(missing_ok=True)
    command = [arguments.bench, "run", str(arguments.site), day, "--report", str(report), "--why",
               f"{arguments.why}: {name}, {day}, seed {seed}"]
    command += ["--seed", seed] if seed else []
    command += ["--no-cpu"] if arguments.no_cpu else []
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if not report.exists():
        print(done.stdout[-400:], done.stderr[-400:], file=sys.stderr)
        return None
    return json.loads(report.read_text())


def summary(reports):
    """Mean, least and most worth, and the rules that were broken, of the plays that gave a report."""
    worths = [report["G"] for report in reports if report]
    broken = sorted({rule for report in reports if report for rule in report["breaks"]})
    faults = sum(1 for report in reports if report is None or report["fault"])
    return (statistics.mean(worths) if worths else None, min(worths, default=None), max(worths, default=None), broken,
            faults)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True, type=pathlib.Path)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", default="")
    parser.add_argument("--variant", action="append", default=[])
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--why", default="measured variants")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("build/decisions"))
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    deploy = DEPLOY.read_text()
    variants = dict(entry.split("=", 1) for entry in arguments.variant or ["base="])
    rows = {}
    try:
        for name, options in variants.items():
            DEPLOY.write_text(with_options(deploy, options))
            for day in arguments.days.split(","):
                rows[name, day] = summary([play(arguments, name, day, seed) for seed in arguments.seeds.split(",")])
    finally:
        DEPLOY.write_text(deploy)
    first = next(iter(variants))
    print("| site | day | variant | mean | least | most | to the first | rules broken | faults |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for (name, day), (mean, least, most, broken, faults) in rows.items():
        if mean is None:
            print(f"| {arguments.site.stem} | {day} | {name} | no report | | | | | {faults} |")
            continue
        base = rows[first, day][0]
        change = f"{mean - base:+.3f}" if base is not None else ""
        print(f"| {arguments.site.stem} | {day} | {name} | {mean:.3f} | {least:.3f} | {most:.3f} | {change} "
              f"| {', '.join(broken) or 'none'} | {faults} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
