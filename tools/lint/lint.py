#!/usr/bin/env python3
"""The linters of this repository.

  lint.py format [--fix] [FILE ...]                 clang-format over the C++ files
  lint.py tidy [--build B] [--jobs N] [FILE ...]    clang-tidy over the compile database

Without files all are checked: `format` takes every C++ file, `tidy` every translation
unit of source/ but the tests (headers are checked with what includes them). Rules stand in .clang-format and .clang-tidy. The exit code is 0 when clean.
"""
import argparse
import concurrent.futures
import json
import os
import resource
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FORMATTER = "clang-format"
TIDY = "clang-tidy"
FOLDERS = ("source", "examples")
TESTS = "source/tests/"


def own_files():
    """The C++ files of the repository, relative to the root."""
    found = []
    for top in FOLDERS:
        for folder, _, names in os.walk(os.path.join(ROOT, top)):
            found += [os.path.relpath(os.path.join(folder, name), ROOT) for name in names if name.endswith((".cpp", ".hpp"))]
    return sorted(found)


def check_format(files, fix):
    """Runs the formatter; returns its exit code."""
    mode = ["-i"] if fix else ["--dry-run", "--Werror"]
    return subprocess.run([FORMATTER, "--style=file", *mode, *files], cwd=ROOT, check=False).returncode


def translation_units(build, files):
    """Paths, relative to the root, that are both in the compile database and asked for."""
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as stream:
        known = {os.path.relpath(os.path.join(entry["directory"], entry["file"]), ROOT) for entry in json.load(stream)}
    return sorted(name for name in known if name in files and not name.startswith(TESTS))


def tidy_one(build, name):
    """Checks one translation unit; returns its exit code and findings."""
    done = subprocess.run([TIDY, "--quiet", "-p", build, name], cwd=ROOT, capture_output=True, text=True, check=False)
    findings = done.stdout.strip()
    if done.returncode != 0 and not findings:
        findings = done.stderr.strip()
    return done.returncode, findings


def check_tidy(build, files, jobs):
    """Checks the translation units in parallel; returns 0 if all are clean."""
    units = translation_units(build, set(files))
    began = time.monotonic()
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        checks = {pool.submit(tidy_one, build, name): name for name in units}
        for check in concurrent.futures.as_completed(checks):
            code, findings = check.result()
            if code != 0:
                failed += 1
                print(f"{checks[check]}:\n{findings}", flush=True)
    spent = resource.getrusage(resource.RUSAGE_CHILDREN)
    print(f"clang-tidy: {len(units)} translation units, {failed} with findings, "
          f"{time.monotonic() - began:.0f} s, {spent.ru_utime + spent.ru_stime:.0f} s of processor time")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("linter", choices=["format", "tidy"])
    parser.add_argument("files", nargs="*")
    parser.add_argument("--fix", action="store_true", help="write the formatter's changes")
    parser.add_argument("--build", default="build", help="folder with compile_commands.json")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    given = parser.parse_intermixed_args()
    files = [os.path.relpath(os.path.abspath(name), ROOT) for name in given.files] or own_files()
    if given.linter == "format":
        return check_format(files, given.fix)
    return check_tidy(os.path.join(ROOT, given.build), files, given.jobs)


if __name__ == "__main__":
    sys.exit(main())
