#!/usr/bin/env python3
"""A soak of real processes: random kills, pauses, cuts, lost answers and lost disks, seed by seed,
while operators change the configuration; what must hold is checked (docs/operating/soak.md).

Exit code 1 when a rule was broken, or when faults that were planned did not happen.
"""
import argparse
import collections
import concurrent.futures
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import checker  # noqa: E402
import run as runs  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SHORT_FURROWS, SHORT_SECONDS = 6, 10.0
PARENT_LOOK_S = 1.0
POWER_LOSS = ("hold", "torn")


def seeds_of(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("..")
        seeds += range(int(first), int(last or first) + 1)
    return sorted(set(seeds))  # each has a folder of its own


def loses_power(programs):
    """Whether the programs were built with disks that fail by order."""
    path = os.path.join(programs, "CMakeCache.txt")
    if not os.path.exists(path):
        return False
    with open(path, encoding="utf-8") as stream:
        return "FINCHLINK_FAULTS:BOOL=ON" in stream.read()


def end_with_parent():
    """A run whose starter was ended stops its processes and ends too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parent = os.getppid()

    def watch():
        while os.getppid() == parent:
            time.sleep(PARENT_LOOK_S)
        os.kill(os.getpid(), signal.SIGTERM)
    threading.Thread(target=watch, daemon=True).start()


def options_of(given, seed):
    power = given.power_loss
    if power == "auto":
        power = POWER_LOSS[seed % len(POWER_LOSS)] if loses_power(given.build) else ""
    return runs.Options(programs=os.path.abspath(given.build), folder=os.path.abspath(given.folder), furrows=SHORT_FURROWS if given.short else given.furrows,
                        seconds=SHORT_SECONDS if given.short else given.seconds, power_loss="" if power == "off" else power, large=not given.short, keep=given.keep, without_counters=given.without_counters, disks_by_time=given.disks_by_time)


def line_of(result):
    broken = {rule: count for rule, count in result["violations"].items() if count}
    keys = ("seed", "clean", "closing", "power_loss", "changes", "acknowledged", "judged", "formed_s", "first_answer_s", "all_furrows_ready_s", "furrows_not_ready", "slowest_read_s")
    return json.dumps({**{key: result.get(key) for key in keys}, "broken": broken, "defects": result["defects"]})


def faults_without_effect(results, applied):
    """Kinds that were applied and, over all seeds, did nothing."""
    held = sum(result["network"].get("held", 0) for result in results)
    lost = sum(result["network"].get("lost", 0) for result in results)
    disks = sum(result["disks_lost"] for result in results)
    expected = {"cuts held nothing": (held, ("cut_machine", "cut_one_way", "cut_halves", "cut_zone")), "no answer was lost": (lost, ("lose_operator_answers", "lose_core_answers")),
                "no disk was lost": (disks, ("lose_disk", "power_and_disks"))}
    return [text for text, (count, kinds) in expected.items() if count == 0 and any(applied[kind] for kind in kinds)]


def summary(results, given, took):
    violations, applied = collections.Counter(), collections.Counter()
    for result in results:
        violations.update(result["violations"])
        applied.update(result["applied"])
    return {"without_effect": faults_without_effect(results, applied), "seeds": [result["seed"] for result in results], "took_s": round(took, 1), "clean": sum(result["clean"] for result in results), "violations": dict(violations), "applied": dict(applied),
            "furrows": given.furrows, "seconds": given.seconds, "short": given.short, "runs": sorted(results, key=lambda result: result["seed"])}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=seeds_of, default=[1], help="FIRST..LAST, or some with commas")
    parser.add_argument("--jobs", type=int, default=1, help="runs at once")
    parser.add_argument("--furrows", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=40.0, help="of faults before the closing one")
    parser.add_argument("--short", action="store_true", help="6 furrows and one burst of faults, for CI")
    parser.add_argument("--build", default=os.path.join(ROOT, "build"), help="folder of the programs")
    parser.add_argument("--folder", default="/tmp/finchlink-soak", help="for settings, disks and logs")
    parser.add_argument("--report", help="file for the whole report")
    parser.add_argument("--keep", action="store_true", help="keep the folders of clean seeds as well")
    parser.add_argument("--power-loss", default="auto", choices=("auto", "off", "hold", "torn", "ignore-sync"), help="what a kill does to unsynced writes; auto: hold and torn in turn, where the build can")
    parser.add_argument("--without-counters", action="store_true", help="the programs may have no invariant counters on their metrics pages")
    parser.add_argument("--disks-by-time", action="store_true", help="a lost disk is back 6 s behind its process's start, whatever else is wrong then: more than can be survived")
    given = parser.parse_args()
    given.build = os.path.abspath(given.build)
    if given.power_loss not in ("auto", "off") and not loses_power(given.build):
        parser.error("--power-loss needs a build with -DFINCHLINK_FAULTS=ON")
    began, results = time.monotonic(), []
    with concurrent.futures.ProcessPoolExecutor(given.jobs, initializer=end_with_parent) as pool:
        pending = [pool.submit(runs.run_seed, seed, options_of(given, seed)) for seed in given.seeds]
        for done in concurrent.futures.as_completed(pending):
            results.append(done.result())
            print(line_of(results[-1]), flush=True)
    whole = summary(results, given, time.monotonic() - began)
    if given.report:
        with open(given.report, "w", encoding="utf-8") as stream:
            json.dump(whole, stream, indent=1)
    print(json.dumps({key: whole[key] for key in ("clean", "took_s", "applied", "without_effect")} | {"of": len(results), "broken": {rule: whole["violations"][rule] for rule in checker.RULES if whole["violations"].get(rule)}}))
    sys.exit(0 if whole["clean"] == len(results) and not whole["without_effect"] else 1)


if __name__ == "__main__":
    main()
