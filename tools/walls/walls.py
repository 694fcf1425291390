#!/usr/bin/env python3
"""Live traffic of many tenants that send equal prompts, through a fleet of relays.

  walls.py DEPLOYMENT [--story faults|cuts|regions|quiet] [--seconds S] [--tenants N]
           [--rate R] [--kept T] [--without] [--in-turn] [--out FILE]
      runs the fleet of deployments/DEPLOYMENT in relay mode, has gleaner ask as
      its tenants, and counts, by the workers' own word, which tenant's kept parts
      each prompt found. What befalls the fleet meanwhile:
      faults   furrows and trellises are killed, workers crash and drain, a hall is
               emptied, secrets rotate, weights change
      cuts     behind stile: a furrow, a hall's way, workers and whole regions are
               cut off while secrets rotate and a hall is emptied
      regions  each region is lost whole, workers too, and comes back
      quiet    nothing
      Workers' memory (--kept, tokens) is small by default, so that it is full.
      --without: the same lanes with no tenancy, which must show crossings.
      Ends with 1 when a hit crossed a wall, fewer tenants than --least reused
      their own, or a fault did not occur (--without: when none crossed).
  walls.py plot WITH.json WITHOUT.json FILE.svg
      draws each tenant's reuse.
"""
import argparse
import json
import os
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "fleet"))
from fleet import Fleet  # noqa: E402

PUBLIC = "c0ffee01"


def charter(walls, kept):
    lanes = []
    for name, tenancy in (("logs", {"header": "Customer", "public_parts": [PUBLIC]}), ("journeys", {"path_segment": 3})):
        lane = {"name": name, "host": "walls", "prefix": f"/v1/{name}/", "shares": [{"service": "model"}], "stream": True, "resumable": True, "sticky": True,
                "dispatches": 3, "deadline_ms": 15000, "set_point_ms": 4000, "gap_set_point_ms": 1500}
        if walls:
            lane["tenancy"] = tenancy
        lanes.append(lane)
    return {"number": 1, "lanes": lanes, "services": [{"name": "model", "model": True, "capacity": 48, "kept_tokens": kept}]}


class Run:
    def __init__(self, given):
        self.given = given
        self.fleet = Fleet(given.folder, given.build)
        self.notes, self.done = [], []
        self.secrets = os.path.join(self.fleet.folder, "secrets.json")

    def start(self):
        fleet, given = self.fleet, self.given
        os.makedirs(fleet.folder, exist_ok=True)
        self.rotate({"current": f"first-{given.seed}-" + "a" * 32})
        self.network = given.story == "cuts"
        fleet.plan(given.deployment, {"base_port": given.port, "bed": {"kept_tokens": given.kept, "limit": 48, "threads": 2}}, network=self.network)
        with open(os.path.join(fleet.folder, "bed.json"), encoding="utf-8") as stream:
            self.bed = json.load(stream)
        regions = self.regions = {worker["zone"]: worker["region"] for worker in self.bed["workers"]}
        self.small = {}
        for name, process in fleet.state["processes"].items():
            if process["program"] != "furrow":
                continue
            settings = process["settings"]
            host, port = settings["http_address"].split(":")
            self.small[name] = f"{settings.get('own_ip', host)}:{int(port) + 500}"
            settings.update({"relay": True, "threads": 1, "bounds": {"stop_unvouched": False}, "region": regions[process["hall"]], "regions": regions, "ready_address": self.small[name], "secrets_file": self.secrets})
            with open(os.path.join(fleet.folder, name + ".json"), "w", encoding="utf-8") as stream:
                json.dump(settings, stream, indent=1)
        fleet.save()
        self.targets = {n: p["settings"]["http_address"] for n, p in fleet.state["processes"].items() if p["program"] == "furrow"}
        self.halls = sorted(regions)
        fleet.start("seedbed")
        if self.network:
            fleet.start("stile")
            time.sleep(0.3)
        for name in fleet.state["processes"]:
            fleet.start(name)
        self.operate("/charter", "PUT", json.dumps(charter(not given.without, given.kept)), {"If-Match": "0", "Content-Type": "application/json"})
        until = time.time() + 60
        left = dict(self.small)
        while left and time.time() < until:
            left = {n: a for n, a in left.items() if fleet.ask(a, "/-/ready", timeout=2)[0] != 200}
            time.sleep(0.1)
        if left:
            raise RuntimeError(f"not ready: {sorted(left)}")

    def rotate(self, secrets):
        with open(self.secrets + ".next", "w", encoding="utf-8") as stream:
            json.dump(secrets, stream)
        os.replace(self.secrets + ".next", self.secrets)

    def operate(self, path, method, body="", headers=None):
        answers = []
        for _ in range(60):
            for address in self.fleet.state["trellises"]:
                status, answer = self.fleet.ask(address, path, method, body, headers, timeout=8)
                if 200 <= status < 300:
                    return
                answers.append((status, answer[:200]))
                if status in (400, 422):
                    raise RuntimeError(answer)
            time.sleep(0.2)
        raise RuntimeError(f"{method} {path}: {answers[-1]}")

    def control(self, deed, name):
        status, body = self.fleet.ask(self.bed["list_address"], f"/control/{deed}/{name}", "POST", "")
        if status != 200:
            raise RuntimeError(f"{deed} {name}: {body}")

    # --- callers ---

    def traffic(self):
        """Gleaner asks on both lanes; all tenants send the same prompts."""
        given, mixes = self.given, []
        for name, more in (("logs", {"path": "/v1/logs/ask", "tenant_header": "Customer", "public_part": PUBLIC}), ("journeys", {"path": "/v1/journeys/{tenant}/ask"})):
            # Where tenants ask in turn, half of them are one lane's and half the other's.
            apart = {"tenants": given.tenants // 2, "first_tenant": len(mixes) * (given.tenants // 2)} if given.in_turn else {"tenants": given.tenants}
            mixes.append({"name": name, "host": "walls", "rate": given.rate / 2, **apart, "in_turn": given.in_turn, "prefixes": given.beginnings, "prefix_bytes": 4 * given.beginning_tokens,
                          "endings": given.endings, "outputs": 12, "stream": True, "repeatable": True, **more})
        return self.fleet.load(given.seconds, wait=False, extra={"targets": sorted(self.targets.values()), "mixes": mixes, "deadline_ms": 20000, "most_open": 1000, "seed": given.seed, "ledger": ""})

    def refusals(self):
        """A query that names no tenant is refused although its body never comes."""
        seen = {}
        for what, path, lines in (("none", "/v1/logs/ask", []), ("two", "/v1/logs/ask", ["Customer: a", "Customer: b"]), ("empty", "/v1/logs/ask", ["Customer: "]), ("joined", "/v1/logs/ask", ["Customer: a,b"]),
                                  ("dots", "/v1/journeys/a/../b/ask", [])):
            text = "\r\n".join([f"POST {path} HTTP/1.1", "Host: walls", "Finchlink-Query: refused", "Content-Length: 1000000", *lines]) + "\r\n\r\n"
            began = time.time()
            host, port = next(iter(self.targets.values())).split(":")
            with socket.create_connection((host, int(port)), timeout=10) as caller:
                caller.sendall(text.encode())
                answer = caller.recv(4096)
            seen[what] = {"status": int(answer[9:12] or b"0"), "ms": round((time.time() - began) * 1000, 1)}
        return seen

    # --- what befalls them ---

    def deeds(self):
        """(part of the run, name, deed)"""
        furrows = sorted(self.targets)
        trellises = sorted(n for n, p in self.fleet.state["processes"].items() if p["program"] == "trellis")
        models = [worker["id"] for worker in self.bed["workers"] if worker["kind"] == "model"]
        kill = lambda names: [self.fleet.signal(name, signal.SIGKILL) for name in names]  # noqa: E731
        begin = lambda names: [self.fleet.start(name) for name in names]  # noqa: E731
        hall = self.halls[0]
        both = lambda one, other, heal=False: [self.fleet.cut(left, right, heal) for left, right in ((one, other), (other, one))]  # noqa: E731
        regions = sorted(set(self.regions.values()))
        first, second = (f"first-{self.given.seed}-" + "a" * 32, f"second-{self.given.seed}-" + "b" * 32)
        if self.given.story == "quiet":
            return []
        if self.given.story == "cuts":
            machine = self.fleet.state["processes"][furrows[0]]["machine"]
            other = regions[-1]
            return [
                (0.06, f"{machine} cut off from all regions", lambda: [both(machine, region) for region in regions]), (0.14, "it heals", lambda: [both(machine, region, True) for region in regions]),
                (0.18, f"nothing passes from {hall} to {other}", lambda: self.fleet.cut(hall, other)), (0.26, "it heals", lambda: self.fleet.cut(hall, other, True)),
                (0.30, f"workers of {hall} cut off from {other}", lambda: both(f"workers-{hall}", other)), (0.36, "they heal", lambda: both(f"workers-{hall}", other, True)),
                (0.40, "regions cut apart", lambda: both(regions[0], other)), (0.44, "secrets rotate: 50 of 100", lambda: self.rotate({"current": second, "previous": first, "moved": 50})),
                (0.48, f"new weights in {self.halls[-1]}", lambda: self.control("weights", self.halls[-1])), (0.54, "regions heal", lambda: both(regions[0], other, True)),
                (0.60, f"{hall} is emptied", lambda: self.operate(f"/halls/{hall}/evacuate", "POST")), (0.64, "all on the new secret", lambda: self.rotate({"current": second})),
                (0.70, f"{hall} is taken back", lambda: self.operate(f"/halls/{hall}/evacuate", "DELETE")),
                (0.74, "two furrows killed, two workers crash", lambda: [kill(furrows[:2]), [self.control("crash", name) for name in models[:2]]]),
                (0.76, f"workers of {self.halls[-1]} cut off from all", lambda: [both(f"workers-{self.halls[-1]}", region) for region in regions]),
                (0.82, "all heal and come back", lambda: [begin(furrows[:2]), [self.control("revive", name) for name in models[:2]], [both(f"workers-{self.halls[-1]}", region, True) for region in regions]])]
        if self.given.story == "regions":
            def lose(region):
                halls = [name for name in self.halls if self.regions[name] == region]
                names = [name for name, process in self.fleet.state["processes"].items() if process["hall"] in halls]
                return (lambda: [kill(names), [self.control("crash", name) for name in halls]], lambda: [begin(names), [self.control("revive", name) for name in halls]])
            (gone, back), (other_gone, other_back) = lose(regions[0]), lose(regions[-1])
            return [
                (0.12, f"{regions[-1]} is lost", other_gone), (0.28, "it comes back", other_back), (0.36, "secrets rotate: 50 of 100", lambda: self.rotate({"current": second, "previous": first, "moved": 50})),
                (0.44, f"{regions[0]} is lost", gone), (0.50, "all on the new secret", lambda: self.rotate({"current": second})), (0.60, "it comes back", back),
                (0.70, f"new weights in {self.halls[-1]}", lambda: self.control("weights", self.halls[-1])), (0.78, f"{hall} is emptied", lambda: self.operate(f"/halls/{hall}/evacuate", "POST")),
                (0.86, f"{hall} is taken back", lambda: self.operate(f"/halls/{hall}/evacuate", "DELETE"))]
        return [
            (0.10, "two furrows killed", lambda: kill(furrows[:2])), (0.16, "they come back", lambda: begin(furrows[:2])),
            (0.20, "two workers crash", lambda: [self.control("crash", name) for name in models[:2]]), (0.28, "they come back", lambda: [self.control("revive", name) for name in models[:2]]),
            (0.32, f"{hall} is emptied", lambda: self.operate(f"/halls/{hall}/evacuate", "POST")), (0.42, f"{hall} is taken back", lambda: self.operate(f"/halls/{hall}/evacuate", "DELETE")),
            (0.46, "secrets rotate: 50 of 100", lambda: self.rotate({"current": second, "previous": first, "moved": 50})), (0.56, "all on the new secret", lambda: self.rotate({"current": second})),
            (0.62, "a trellis is killed", lambda: kill(trellises[:1])), (0.66, "a worker drains", lambda: self.control("drain", models[3])),
            (0.70, f"new weights in {self.halls[-1]}", lambda: self.control("weights", self.halls[-1])), (0.74, "it serves again", lambda: self.control("restore", models[3])),
            (0.76, "the trellis comes back", lambda: begin(trellises[:1])), (0.82, "every furrow killed", lambda: kill(furrows)), (0.84, "and back", lambda: begin(furrows))]

    def play(self):
        refusals = self.refusals() if not self.given.without else {}
        callers, began = self.traffic(), time.time()
        for part, name, deed in self.deeds():
            time.sleep(max(0, began + part * self.given.seconds - time.time()))
            try:
                deed()
                self.done.append(f"{round(time.time() - began, 1)} s {name}")
            except Exception as error:  # a fault that did not occur fails the run
                self.notes.append(f"{name}: {error}")
        return refusals, json.loads(callers.communicate()[0])

    def report(self, refusals, callers):
        ledger = json.loads(self.fleet.ask(self.bed["list_address"], "/ledger/walls", timeout=30)[1])
        tenants = ledger["tenants"]
        total = {key: sum(entry[key] for entry in tenants.values()) for key in ("prompts", "tokens", "reused", "own_hits", "public_hits", "crossed_hits", "old_weights_hits")}
        shares = sorted(entry["reused"] / entry["tokens"] for entry in tenants.values() if entry["tokens"])
        seen = {"queries": 0, "cold": 0, "tokens": 0, "reused": 0, "crossings": 0}
        for address in self.small.values():
            status, body = self.fleet.ask(address, "/-/tenants", timeout=5)
            if status == 200:
                told = json.loads(body)
                seen["crossings"] += told["crossings"]
                for entry in told["tenants"]:
                    for key in ("queries", "cold", "tokens", "reused"):
                        seen[key] += entry[key]
        alarms = secrets_in_logs = ids_in_logs = 0
        for name in self.fleet.state["processes"]:
            with open(os.path.join(self.fleet.folder, name + ".log"), encoding="utf-8", errors="replace") as stream:
                log = stream.read()
            alarms += log.count("E6011") + log.count("E6012")
            if self.fleet.state["processes"][name]["program"] != "furrow":
                continue  # trellises note the ids of changes
            ids_in_logs += len([word for word in log.split() if len(word) >= 32 and all(letter in "0123456789abcdef" for letter in word)])
            secrets_in_logs += log.count("a" * 32) + log.count("b" * 32)
        never = self.fleet.judge()["never"]
        outcomes = {key: sum(callers[lane][key] for lane in ("logs", "journeys") if lane in callers) for key in ("sent", "good", "refused", "may_have_run", "unreached", "broken", "other", "wrong_owner", "wrong_number", "cut_but_looked_whole")}
        held = 0
        if self.network:
            held = json.loads(self.fleet.ask(self.fleet.state["stile"], "/counts", timeout=5)[1])["held"]
        return {"deployment": self.given.deployment, "walls": not self.given.without, "story": self.given.story, "kept_tokens": self.given.kept, "asked_of": self.given.tenants, "held_by_cuts": held, "seed": self.given.seed, "seconds": self.given.seconds, "tenants": len(tenants),
                "outcomes": outcomes, "prompts_of_a_tenant": {"least": min(entry["prompts"] for entry in tenants.values()), "most": max(entry["prompts"] for entry in tenants.values())}, "hits": total, "reuse_share": {"least": round(shares[0], 3), "tenth": round(shares[len(shares) // 10], 3), "median": round(shares[len(shares) // 2], 3), "most": round(shares[-1], 3)},
                "tenants_without_own_hit": sum(1 for entry in tenants.values() if entry["own_hits"] == 0), "furrows_told_since_last_start": seen, "alarms_in_logs": alarms, "secrets_in_logs": secrets_in_logs, "ids_in_logs": ids_in_logs,
                "refusals": refusals, "befell": self.done, "did_not_occur": self.notes, "never": never, "first_crossings": ledger["crossings"][:5],
                "by_tenant": {name: {"reuse": round(entry["reused"] / max(1, entry["tokens"]), 4), "crossed": entry["crossed_hits"], "own": entry["own_hits"]} for name, entry in tenants.items()}}


def plot(given):
    """Two rows of bars: reuse of each tenant, with the wall and without; red: hits on others' parts."""
    runs = []
    for path in given[:2]:
        with open(path, encoding="utf-8") as stream:
            runs.append(json.load(stream))
    width, height, left = 900, 150, 60
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width + left + 20}" height="{2 * (height + 70)}" font-family="sans-serif" font-size="12">', '<rect width="100%" height="100%" fill="white"/>']
    for row, run in enumerate(runs):
        top = row * (height + 70) + 40
        tenants = list(run["by_tenant"].values())
        if len(tenants) > 450:  # too many for bars of their own: neighbours by reuse share one
            tenants.sort(key=lambda entry: entry["reuse"])
            size = -(-len(tenants) // 450)
            tenants = [{key: sum(entry[key] for entry in tenants[at:at + size]) / len(tenants[at:at + size]) for key in ("reuse", "crossed", "own")} for at in range(0, len(tenants), size)]
        step = width / max(1, len(tenants))
        hits = run["hits"]
        out.append(f'<text x="{left}" y="{top - 12}">{run["deployment"]}, {"with walls" if run["walls"] else "without walls"}: share of prompt tokens reused, by tenant ({hits["crossed_hits"]} of {hits["crossed_hits"] + hits["own_hits"] + hits["public_hits"]} hits on another tenant\'s parts)</text>')
        for part in (0, 0.5, 1):
            y = top + height * (1 - part)
            out.append(f'<line x1="{left}" x2="{left + width}" y1="{y}" y2="{y}" stroke="#ccc"/><text x="{left - 30}" y="{y + 4}">{part}</text>')
        for index, entry in enumerate(tenants):
            crossed = entry["reuse"] * entry["crossed"] / max(1e-9, entry["crossed"] + entry["own"])
            x, own = left + index * step, entry["reuse"] - crossed
            out.append(f'<rect x="{x:.1f}" y="{top + height * (1 - own):.1f}" width="{step * 0.8:.1f}" height="{height * own:.1f}" fill="#3a7"/>')
            out.append(f'<rect x="{x:.1f}" y="{top + height * (1 - own - crossed):.1f}" width="{step * 0.8:.1f}" height="{height * crossed:.1f}" fill="#c33"/>')
    out.append("</svg>")
    with open(given[2], "w", encoding="utf-8") as stream:
        stream.write("\n".join(out) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("deployment")
    parser.add_argument("words", nargs="*")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--tenants", type=int, default=60)
    parser.add_argument("--rate", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=27000)
    parser.add_argument("--folder", help="of its files and logs, empty at first; a new one by default")
    parser.add_argument("--build", default="build")
    parser.add_argument("--without", action="store_true")
    parser.add_argument("--story", choices=("faults", "cuts", "regions", "quiet"), default="faults")
    parser.add_argument("--kept", type=int, default=40000, help="tokens that a worker keeps")
    parser.add_argument("--in-turn", action="store_true", help="tenants ask one after the other, each on one lane")
    parser.add_argument("--beginnings", type=int, default=2)
    parser.add_argument("--beginning-tokens", type=int, default=1200)
    parser.add_argument("--endings", type=int, default=3)
    parser.add_argument("--least", type=float, default=1.0, help="share of tenants that must have reused their own")
    parser.add_argument("--out")
    given = parser.parse_args()
    if given.deployment == "plot":
        return plot(given.words)
    given.folder = given.folder or tempfile.mkdtemp(prefix="finchlink-walls-")
    run = Run(given)
    try:
        run.start()
        report = run.report(*run.play())
    finally:
        run.fleet.down()
    if given.out:
        with open(given.out, "w", encoding="utf-8") as stream:
            json.dump(report, stream, indent=1)
    short = dict(report)
    del short["by_tenant"]
    print(json.dumps(short, indent=1))
    crossed = report["hits"]["crossed_hits"] + report["hits"]["old_weights_hits"]
    good = not report["did_not_occur"] and report["secrets_in_logs"] == 0 and report["outcomes"]["wrong_owner"] == 0
    if given.without:
        good = good and crossed > 0
    else:
        good = good and crossed == 0 and report["alarms_in_logs"] == 0 and report["ids_in_logs"] == 0 and report["tenants_without_own_hit"] <= (1 - given.least) * given.tenants and all(entry["status"] == 400 for entry in report["refusals"].values())
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
