#!/usr/bin/env python3
"""Real processes under failure, with the ledger as judge.

  proof.py [--deployment D] [--seconds N] [--scale X] [SCENARIO ...]

Each scenario starts a fresh fleet, runs the callers, brings one failure about
and prints one JSON line: what must never happen (all zero), and what was
measured. Exit code 1 when anything that must never happen did.
"""
import argparse
import json
import os
import shutil
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet  # noqa: E402


def control(fleet, deed, name):
    status, body = fleet.ask(fleet.state["list"], f"/control/{deed}/{name}", "POST", "")
    if status != 200:
        raise RuntimeError(f"{deed} {name}: {status} {body}")


def trellis(fleet, path, method="GET", body=None, headers=None, skip=()):
    """Asks trellises in turn until one answers."""
    for name, process in fleet.state["processes"].items():
        if process["program"] == "trellis" and name in fleet.state["pids"] and name not in skip:
            status, text = fleet.ask(process["settings"]["http_address"], path, method, body, headers, timeout=8)
            if status:
                return status, text
    return 0, ""


def disks(fleet):
    return [n for n, p in fleet.state["processes"].items() if "data_folder" in p["settings"]]


def halls(fleet):
    return sorted({p["hall"] for p in fleet.state["processes"].values()})


def steady(fleet, notes):
    time.sleep(1)


def hall_lost(fleet, notes):
    hall = halls(fleet)[-1]
    for name in fleet.names(hall):
        fleet.signal(name, signal.SIGKILL)
    time.sleep(4)
    began = time.time()
    for name in fleet.names(hall):
        fleet.start(name)
    fleet.wait_ready()
    notes["ready_again_s"] = round(time.time() - began, 2)


def control_lost(fleet, notes):
    names = [n for n, p in fleet.state["processes"].items() if p["program"] == "trellis"]
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    time.sleep(3)
    began = time.time()
    for name in names:
        fleet.start(name)
    time.sleep(0.2)
    fleet.wait_ready()
    notes["ready_again_s"] = round(time.time() - began, 2)
    notes["revision_kept"] = json.loads(fleet.ask(fleet.state["processes"][names[0]]["settings"]["http_address"], "/setup")[1]).get("regions") is not None


def all_lost(fleet, notes):
    names = list(fleet.state["processes"])
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    time.sleep(1)
    began = time.time()
    for name in names:
        fleet.start(name)
    time.sleep(0.2)
    fleet.wait_ready()
    notes["ready_again_s"] = round(time.time() - began, 2)


def frozen_furrow(fleet, notes):
    """Frozen over a drain and an evacuation; what it does on waking counts."""
    name = "furrow-m02"
    fleet.signal(name, signal.SIGSTOP)
    control(fleet, "drain", worker_of(fleet, halls(fleet)[0]))
    time.sleep(6)
    fleet.signal(name, signal.SIGCONT)
    time.sleep(2)


def worker_of(fleet, hall, kind="model"):
    with open(os.path.join(fleet.folder, "bed.json"), encoding="utf-8") as stream:
        return next(w["id"] for w in json.load(stream)["workers"] if w["zone"] == hall and w["kind"] == kind)


def drains(fleet, notes):
    for hall in halls(fleet)[:2]:
        control(fleet, "drain", worker_of(fleet, hall))
    time.sleep(7)


def evacuation(fleet, notes):
    hall = halls(fleet)[0]
    began = time.time()
    status, body = trellis(fleet, f"/halls/{hall}/drain", "POST", "")
    control(fleet, "evacuated", hall)
    notes["yes_after_s"] = round(time.time() - began, 2)
    notes["answer"] = status
    time.sleep(7)
    control(fleet, "retaken", hall)
    trellis(fleet, f"/halls/{hall}/restore", "POST", "")


def evacuation_with_cut_off(fleet, notes):
    """A furrow and the trellis it asks are frozen while the hall is emptied."""
    fleet.signal("furrow-m05", signal.SIGSTOP)
    fleet.signal("trellis-m02", signal.SIGSTOP)
    evacuation(fleet, notes)
    fleet.signal("furrow-m05", signal.SIGCONT)
    fleet.signal("trellis-m02", signal.SIGCONT)


def crashes(fleet, notes):
    names = [worker_of(fleet, hall) for hall in halls(fleet)]
    for name in names:
        control(fleet, "crash", name)
        time.sleep(1)
    for name in names:
        control(fleet, "revive", name)
    time.sleep(6)


def dark(fleet, notes):
    name = worker_of(fleet, halls(fleet)[0])
    control(fleet, "dark", name)
    time.sleep(4)
    control(fleet, "light", name)
    time.sleep(3)


def disk_lost(fleet, notes):
    name = disks(fleet)[1]
    fleet.signal(name, signal.SIGKILL)
    shutil.rmtree(fleet.state["processes"][name]["settings"]["data_folder"], ignore_errors=True)
    time.sleep(1)
    began = time.time()
    fleet.start(name)
    while time.time() - began < 20:
        entries = json.loads(trellis(fleet, "/trellises")[1])
        epoch = json.loads(trellis(fleet, "/holders")[1])["epoch"]
        if epoch >= 2 and sum(1 for e in entries if e["voting"]) == 3:
            break
        time.sleep(0.1)
    notes["three_voters_again_s"] = round(time.time() - began, 2)
    notes["epoch"] = json.loads(trellis(fleet, "/holders")[1])["epoch"]
    other = disks(fleet)[0]  # and the next one in a row
    fleet.signal(other, signal.SIGKILL)
    time.sleep(1)
    status, _ = trellis(fleet, "/setup", "PATCH", '{"scaler":{"hold_ms":90000}}')
    notes["change_with_the_new_one_and_without_an_old"] = status
    fleet.start(other)


def races(fleet, notes):
    """Operators race from the same revision; one winner each, none lost."""
    won, lost, other = [], [], []
    addresses = fleet.state["trellises"]

    def operator(number):
        for turn in range(4):
            address = addresses[(number + turn) % len(addresses)]
            revision = None
            try:
                import urllib.request
                with urllib.request.urlopen(f"http://{address}/setup", timeout=8) as answer:
                    revision = answer.headers["ETag"]
            except OSError:
                continue
            hall = halls(fleet)[0]
            status, body = fleet.ask(address, "/setup", "PATCH", json.dumps({"halls": {hall: {"labels": {f"operator{number}": str(turn)}}}}), {"If-Match": revision, "Change-Id": f"race-{number}-{turn}.{revision.strip(chr(34))}"})
            (won if status == 200 else lost if status == 412 else other).append((number, turn, json.loads(body).get("revision"), status))
    threads = [threading.Thread(target=operator, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    revisions = [entry[2] for entry in won]
    notes.update({"won": len(won), "lost": len(lost), "other": len(other), "one_winner_each": len(set(revisions)) == len(revisions)})
    last = {}
    for number, turn, revision, _ in sorted(won, key=lambda e: e[2]):
        last[f"operator{number}"] = str(turn)
    labels = json.loads(trellis(fleet, "/setup")[1])["halls"][halls(fleet)[0]]["labels"]
    notes["acknowledged_all_there_losers_not"] = {k: v for k, v in labels.items() if k.startswith("operator")} == last


def rule_changed(fleet, notes):
    """A crowd waits; the home of its rule changes. After yes nothing that waits goes by the old rule."""
    regions = sorted({p["region"] for p in fleet.deployment()["halls"].values()})
    mix = next(m["name"] for m in fleet.deployment()["mixes"] if not m.get("homes") and not m.get("plain"))
    control(fleet, "slow", "20")
    time.sleep(1)
    notes["yes"], notes["waiting_at_the_change"] = [], []
    for region in (regions[0], regions[1]):
        control(fleet, "only", f"{mix}@")
        status, _ = trellis(fleet, "/setup", "PATCH", json.dumps({"rules": {mix: {"home": {"region": region, "header": None, "path_segment": 0}}}}))
        notes["waiting_at_the_change"].append(sum(json.loads(fleet.ask(p["settings"]["http_address"], "/-/state")[1])["model"]["waiting"]
                                              for p in fleet.state["processes"].values() if p["program"] == "furrow"))
        notes["yes"].append(status)
        control(fleet, "only", f"{mix}@{region}")
        time.sleep(4)
    control(fleet, "slow", "1")
    time.sleep(1)


def list_back(fleet, notes):
    """The platform is begun anew and counts its list from one again; then a worker drains."""
    for _ in range(20):  # the list counts on
        control(fleet, "light", worker_of(fleet, halls(fleet)[0]))
    time.sleep(1)
    before = json.loads(trellis(fleet, "/workers")[1])["revision"]
    control(fleet, "recount", "all")
    notes["counted_from_to"] = [before, json.loads(fleet.ask(fleet.state["list"], "/workers")[1])["revision"]]
    time.sleep(6)
    furrows = [p["settings"]["http_address"] for p in fleet.state["processes"].values() if p["program"] == "furrow"]
    notes["never_service_stopped"] = sum(1 for a in furrows if fleet.ask(a, "/-/ready", timeout=2)[0] != 200)
    control(fleet, "drain", worker_of(fleet, halls(fleet)[0]))
    time.sleep(6)


def forged(fleet, notes):
    """Callers who write the headers that furrows use among themselves."""
    rules = json.load(open(os.path.join(fleet.folder, "harvest.json"), encoding="utf-8"))["mixes"]
    path = next(m["path"] for m in rules if not m.get("plain"))
    address = next(p["settings"]["http_address"] for p in fleet.state["processes"].values() if p["program"] == "furrow")
    taken = 0
    for word in ["1", "furrow-m02 1", "furrow-m02 0"] * 5:
        status, _ = fleet.ask(address, path, "POST", json.dumps({"nonce": f"forged-{taken}-{word}", "outputs": 4}), {"Finchlink-Pass": word, "Finchlink-Query": "another's"})
        taken += status not in (307, 503)
    notes["forged_tried"] = 15
    notes["never_forged_taken"] = taken


# --- with stile between the machines ---
def cut_both(fleet, one, other, heal=False):
    fleet.cut(one, other, heal)
    fleet.cut(other, one, heal)


def cut_off(fleet, machine):
    """From all other machines; callers, operators and the platform still reach it."""
    cut_both(fleet, machine, "all")
    cut_both(fleet, machine, "platform", True)


def machine_of(fleet, name):
    return fleet.state["processes"][name]["machine"]


def recovered(fleet, notes, key="ready_again_s"):
    began = time.time()
    fleet.wait_ready()
    notes[key] = round(time.time() - began, 2)
    notes["never_down_12_s"] = max(notes.get("never_down_12_s", 0), int(notes[key] > 12))


def net_furrow_cut_off(fleet, notes):
    """A furrow without any trellis, both ways, while a hall is emptied; it may serve nothing by the old setup."""
    furrow = machine_of(fleet, "furrow-m03")
    cut_off(fleet, furrow)
    evacuation(fleet, notes)
    cut_both(fleet, furrow, "all", True)
    recovered(fleet, notes)


def net_one_way(fleet, notes):
    """Answers of the trellises don't reach a hall's furrows, asks do; then the other way round."""
    hall = halls(fleet)[1]
    for one, other in (("all", hall), (hall, "all")):
        for name in {p["machine"] for p in fleet.state["processes"].values() if p["program"] == "trellis"}:
            if name not in {p["machine"] for p in fleet.state["processes"].values() if p["hall"] == hall}:
                fleet.cut(name if one == "all" else hall, hall if one == "all" else name)
        control(fleet, "drain", worker_of(fleet, halls(fleet)[0]))
        time.sleep(5.5)
        control(fleet, "restore", worker_of(fleet, halls(fleet)[0]))
        cut_both(fleet, "all", "all", True)
        recovered(fleet, notes)


def net_core_split(fleet, notes):
    """One holder away from the two others: changes go on; then two apart from all: none is taken, none is lost."""
    holders = [machine_of(fleet, n) for n in disks(fleet)]
    cut_off(fleet, holders[0])
    notes["without_one"] = trellis(fleet, "/setup", "PATCH", '{"scaler":{"hold_ms":81000}}', skip={n for n, p in fleet.state["processes"].items() if p["machine"] == holders[0]})[0]
    cut_off(fleet, holders[1])
    lone = next(n for n in disks(fleet) if machine_of(fleet, n) == holders[0])
    notes["at_the_lone_one"] = fleet.ask(fleet.state["processes"][lone]["settings"]["http_address"], "/setup", "PATCH", '{"scaler":{"hold_ms":82000}}', {"Change-Id": "lone.1"}, timeout=9)[0]
    cut_both(fleet, "all", "all", True)
    recovered(fleet, notes)
    told = trellis(fleet, "/changes/lone.1")
    held = json.loads(trellis(fleet, "/setup")[1])["scaler"]["hold_ms"]
    outcome = json.loads(told[1])["outcome"]
    notes["told_later"] = outcome
    notes["never_outcome_wrong"] = int((outcome == "accepted") != (held == 82000))
    notes["never_taken_by_a_minority"] = int(notes["at_the_lone_one"] == 200)


def net_region_cut(fleet, notes):
    """The regions lose each other; the smaller one has no majority and refuses, both are back after."""
    regions = sorted({p["region"] for p in fleet.deployment()["halls"].values()})
    cut_both(fleet, regions[0], regions[1])
    time.sleep(6)
    ready = {r: 0 for r in regions}
    for process in fleet.state["processes"].values():
        if process["program"] == "furrow":
            ready[fleet.deployment()["halls"][process["hall"]]["region"]] += fleet.ask(process["settings"]["http_address"], "/-/ready", timeout=2)[0] == 200
    notes["ready_during_the_cut"] = ready
    cut_both(fleet, regions[0], regions[1], True)
    recovered(fleet, notes)


def net_workers_cut(fleet, notes):
    """Furrows of one hall and workers of another lose each other, one way and then the other."""
    places = fleet.deployment()["halls"]  # two halls of one region: furrows reach no workers outside theirs
    from_hall, other = next((a, b) for a in places for b in places if a != b and places[a]["region"] == places[b]["region"])
    to_hall = f"workers-{other}"
    for one, other in ((from_hall, to_hall), (to_hall, from_hall)):
        fleet.cut(one, other)
        time.sleep(4)
        fleet.cut(one, other, True)
        time.sleep(2)


# --- with a build of FINCHLINK_FAULTS ---
def order(fleet, name, words):
    path = fleet.state["processes"][name]["settings"]["data_folder"] + ".faults"
    with open(path + ".new", "w", encoding="utf-8") as stream:
        stream.write(words)
    os.replace(path + ".new", path)


def met(fleet):
    """What the ordered disks really did."""
    count = {}
    for name in disks(fleet):
        path = fleet.state["processes"][name]["settings"]["data_folder"] + ".faults.met"
        for line in open(path, encoding="utf-8").read().split() if os.path.exists(path) else []:
            count[line] = count.get(line, 0) + 1
    return count


def patch_all(fleet, count=3):
    return [trellis(fleet, "/setup", "PATCH", json.dumps({"scaler": {"hold_ms": 70000 + turn}}))[0] for turn in range(count)]


def disk_orders(fleet, notes):
    """Each disk slow, stalled, full and failing in turn, changes going on; then two full at once and room again."""
    one, two, _ = disks(fleet)
    for words in ("slow 400", "stall", "full", "fail"):
        order(fleet, one, words)
        notes[words] = patch_all(fleet, 1)
        order(fleet, one, "")
        time.sleep(0.5)
    for name in (one, two):
        order(fleet, name, "full")
    notes["two_full"] = patch_all(fleet, 1)
    began = time.time()
    for name in (one, two):
        order(fleet, name, "")
    status = 0
    while status != 200 and time.time() - began < 20:
        status = trellis(fleet, "/setup", "PATCH", '{"scaler":{"hold_ms":60000}}')[0]
    notes["changes_again_s"] = round(time.time() - began, 2)
    notes["never_down_12_s"] = int(status != 200 or notes["changes_again_s"] > 12)
    notes["met"] = met(fleet)
    notes["never_fault_did_not_occur"] = int(any(notes["met"].get(w, 0) == 0 for w in ("slow", "stall", "full", "fail")))


SCENARIOS = {f.__name__: f for f in (steady, hall_lost, control_lost, all_lost, frozen_furrow, drains, evacuation, evacuation_with_cut_off, crashes, dark, disk_lost, races, rule_changed, list_back, forged)}
NETWORK = {f.__name__: f for f in (net_furrow_cut_off, net_one_way, net_core_split, net_region_cut, net_workers_cut)}
FAULTS = {f.__name__: f for f in (disk_orders,)}
ALL = {**SCENARIOS, **NETWORK, **FAULTS}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenarios", nargs="*")
    parser.add_argument("--deployment", default="pruebaviva")
    parser.add_argument("--seconds", type=float, default=24)
    parser.add_argument("--scale", type=float, default=0.6)
    parser.add_argument("--folder", default="/tmp/finchlink-proof")
    parser.add_argument("--build", default="build")
    given = parser.parse_args()
    bad = False
    for name in given.scenarios or [*SCENARIOS, *NETWORK]:
        if name not in ALL:
            parser.error(f"unknown scenario {name}; one of {', '.join(ALL)}")
        folder = os.path.join(given.folder, f"{given.deployment}-{name}")
        shutil.rmtree(folder, ignore_errors=True)
        fleet = Fleet(folder, given.build)
        notes = {}
        try:
            out = sys.stdout
            sys.stdout = open(os.devnull, "w")
            fleet.up(given.deployment, network=name in NETWORK)
            sys.stdout = out
            time.sleep(5)  # the ramp of cold workers
            load = fleet.load(given.seconds, given.scale, wait=False)
            time.sleep(3)
            ALL[name](fleet, notes)
            callers = json.loads(load.communicate()[0])
            ledger = fleet.judge()
            if name in NETWORK:
                notes["held_by_cuts"] = json.loads(fleet.ask(fleet.state["stile"], "/counts")[1])["held"]
                notes["never_fault_did_not_occur"] = int(notes["held_by_cuts"] == 0)
        finally:
            fleet.down()
        never = dict(ledger["never"])
        never["refused_but_ran"] = callers["refused_but_ran"]
        for key in ("wrong_owner", "wrong_number", "cut_but_looked_whole", "refused_without_retry_after"):
            never[key] = sum(v[key] for v in callers.values() if isinstance(v, dict))
        never["retry_share_above_a_fifth"] = int(ledger["worst_retry_share_10s"] > 0.2)
        for key in [k for k in notes if k.startswith("never_")]:
            never[key[6:]] = notes.pop(key)
        sums = {key: sum(v[key] for v in callers.values() if isinstance(v, dict)) for key in ("sent", "good", "refused", "may_have_run", "broken", "other")}
        sums["longest_gap_s"] = callers["longest_seconds_without_a_good_answer"]
        bad = bad or any(never.values())
        print(json.dumps({"scenario": name, "deployment": given.deployment, "clean": not any(never.values()), "never": {k: v for k, v in never.items() if v}, "callers": sums,
                          "worst_retry_share_10s": round(ledger["worst_retry_share_10s"], 3), "worst_drain_ms": ledger["worst_drain_ms"], "worst_evacuation_ms": ledger["worst_evacuation_ms"],
                          "repeated_where_allowed": ledger["repeated_where_allowed"], **notes}), flush=True)
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
