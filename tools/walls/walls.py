#!/usr/bin/env python3
"""Live traffic of many tenants that send equal prompts, through a fleet of relays.

  walls.py DEPLOYMENT [--seconds S] [--tenants N] [--rate R] [--without] [--quiet] [--out FILE]
      runs the fleet of deployments/DEPLOYMENT in relay mode and counts, by the
      workers' own word, which tenant's kept parts each prompt found. Meanwhile
      furrows and trellises are killed, workers crash and drain, a hall is
      emptied, secrets rotate, weights change; workers' memory is small.
      --without: the same lanes with no tenancy, which must show crossings.
      Ends with 1 when a hit crossed a wall, a tenant reused nothing, or a fault
      did not occur (--without: when none crossed).
  walls.py plot WITH.json WITHOUT.json FILE.svg
      draws each tenant's reuse.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "fleet"))
from fleet import Fleet  # noqa: E402

PUBLIC = "c0ffee01"


def charter(walls):
    lanes = []
    for name, tenancy in (("logs", {"header": "Customer", "public_parts": [PUBLIC]}), ("journeys", {"path_segment": 3})):
        lane = {"name": name, "host": "walls", "prefix": f"/v1/{name}/", "shares": [{"service": "model"}], "stream": True, "resumable": True, "sticky": True,
                "dispatches": 3, "deadline_ms": 15000, "set_point_ms": 4000, "gap_set_point_ms": 1500}
        if walls:
            lane["tenancy"] = tenancy
        lanes.append(lane)
    return {"number": 1, "lanes": lanes, "services": [{"name": "model", "model": True, "capacity": 48, "kept_tokens": 40000}]}


class Run:
    def __init__(self, given):
        self.given = given
        self.fleet = Fleet(given.folder, given.build)
        self.random = random.Random(given.seed)
        self.sent, self.outcomes, self.notes, self.done = 0, {}, [], []
        self.secrets = os.path.join(self.fleet.folder, "secrets.json")

    def start(self):
        fleet, given = self.fleet, self.given
        os.makedirs(fleet.folder, exist_ok=True)
        self.rotate({"current": f"first-{given.seed}-" + "a" * 32})
        fleet.plan(given.deployment, {"base_port": given.port, "bed": {"kept_tokens": 40000, "limit": 48}})
        with open(os.path.join(fleet.folder, "bed.json"), encoding="utf-8") as stream:
            self.bed = json.load(stream)
        regions = {worker["zone"]: worker["region"] for worker in self.bed["workers"]}
        self.small = {}
        for name, process in fleet.state["processes"].items():
            if process["program"] != "furrow":
                continue
            settings = process["settings"]
            host, port = settings["http_address"].split(":")
            self.small[name] = f"{host}:{int(port) + 500}"
            settings.update({"relay": True, "threads": 1, "region": regions[process["hall"]], "regions": regions, "ready_address": self.small[name], "secrets_file": self.secrets})
            with open(os.path.join(fleet.folder, name + ".json"), "w", encoding="utf-8") as stream:
                json.dump(settings, stream, indent=1)
        fleet.save()
        self.targets = {n: p["settings"]["http_address"] for n, p in fleet.state["processes"].items() if p["program"] == "furrow"}
        self.halls = sorted(regions)
        fleet.start("seedbed")
        for name in fleet.state["processes"]:
            fleet.start(name)
        self.operate("/charter", "PUT", json.dumps(charter(not given.without)), {"If-Match": "0", "Content-Type": "application/json"})
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

    async def call(self, address, text, expect_stream=True):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        try:
            writer.write(text.encode())
            await writer.drain()
            answer = await reader.read(-1) if expect_stream else await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()
        return int(answer[9:12] or b"0"), answer

    def query(self):
        self.sent += 1
        tenant = f"tenant-{self.random.randrange(self.given.tenants):04d}"
        lane = self.random.choice(("logs", "journeys"))
        # Every tenant sends the same prompts; only the last part is a query's own.
        parts = [(PUBLIC, 120)] if lane == "logs" else []
        parts += [(f"a{self.random.randrange(2)}", 1200), (f"b{self.random.randrange(3)}", 200), (f"f{self.given.seed:x}{self.sent:08x}", 40)]
        tokens = sum(count for _, count in parts)
        body = json.dumps({"nonce": f"{self.given.seed}-{self.sent}", "repeatable": True, "outputs": 12})
        path = f"/v1/{lane}/{tenant}/ask" if lane == "journeys" else f"/v1/{lane}/ask"
        head = [f"POST {path} HTTP/1.1", "Host: walls", f"Finchlink-Query: q-{self.sent}", "Finchlink-Model: m", f"Finchlink-Tokens: {tokens},12",
                "Finchlink-Parts: " + ",".join(f"{part}:{count}" for part, count in parts), f"Finchlink-Standin-Tenant: {tenant}",
                f"Finchlink-Standin-Public: {1 if lane == 'logs' else 0}", "Content-Type: application/json", f"Content-Length: {len(body)}", "Connection: close"]
        if lane == "logs":
            head.append(f"Customer: {tenant}")
        return "\r\n".join(head) + "\r\n\r\n" + body

    async def one(self):
        text = self.query()
        outcome = "unreached"
        for _ in range(3):
            try:
                status, answer = await asyncio.wait_for(self.call(self.random.choice(list(self.targets.values())), text), 20)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            outcome = str(status) if status != 200 or answer.endswith(b"0\r\n\r\n") else "cut"
            if status not in (503, 0):
                break
            await asyncio.sleep(0.3)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def traffic(self):
        until = time.time() + self.given.seconds
        open_calls = set()
        while time.time() < until:
            await asyncio.sleep(self.random.expovariate(self.given.rate))
            if len(open_calls) < 600:
                task = asyncio.create_task(self.one())
                open_calls.add(task)
                task.add_done_callback(open_calls.discard)
        await asyncio.gather(*open_calls)

    async def refusals(self):
        """A query that names no tenant is refused although its body never comes."""
        seen = {}
        for what, lines in (("none", []), ("two", ["Customer: a", "Customer: b"]), ("empty", ["Customer: "])):
            text = "\r\n".join(["POST /v1/logs/ask HTTP/1.1", "Host: walls", "Finchlink-Query: refused", "Content-Length: 1000000", *lines]) + "\r\n\r\n"
            began = time.time()
            status, _ = await asyncio.wait_for(self.call(next(iter(self.targets.values())), text, False), 10)
            seen[what] = {"status": status, "ms": round((time.time() - began) * 1000, 1)}
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
        first, second = (f"first-{self.given.seed}-" + "a" * 32, f"second-{self.given.seed}-" + "b" * 32)
        return [
            (0.10, "two furrows killed", lambda: kill(furrows[:2])), (0.16, "they come back", lambda: begin(furrows[:2])),
            (0.20, "two workers crash", lambda: [self.control("crash", name) for name in models[:2]]), (0.28, "they come back", lambda: [self.control("revive", name) for name in models[:2]]),
            (0.32, f"{hall} is emptied", lambda: self.operate(f"/halls/{hall}/evacuate", "POST")), (0.42, f"{hall} is taken back", lambda: self.operate(f"/halls/{hall}/evacuate", "DELETE")),
            (0.46, "secrets rotate: 50 of 100", lambda: self.rotate({"current": second, "previous": first, "moved": 50})), (0.56, "all on the new secret", lambda: self.rotate({"current": second})),
            (0.62, "a trellis is killed", lambda: kill(trellises[:1])), (0.66, "a worker drains", lambda: self.control("drain", models[3])),
            (0.70, f"new weights in {self.halls[-1]}", lambda: self.control("weights", self.halls[-1])), (0.74, "it serves again", lambda: self.control("restore", models[3])),
            (0.76, "the trellis comes back", lambda: begin(trellises[:1])), (0.82, "every furrow killed", lambda: kill(furrows)), (0.84, "and back", lambda: begin(furrows))]

    async def befall(self, began):
        for part, name, deed in self.deeds():
            await asyncio.sleep(max(0, began + part * self.given.seconds - time.time()))
            try:
                await asyncio.get_running_loop().run_in_executor(None, deed)
                self.done.append(f"{round(time.time() - began, 1)} s {name}")
            except Exception as error:  # a fault that did not occur fails the run
                self.notes.append(f"{name}: {error}")

    async def play(self):
        refusals = await self.refusals() if not self.given.without else {}
        began = time.time()
        tasks = [self.traffic()] + ([] if self.given.quiet else [self.befall(began)])
        await asyncio.gather(*tasks)
        return refusals

    def report(self, refusals):
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
        alarms = secrets_in_logs = 0
        for name in self.fleet.state["processes"]:
            with open(os.path.join(self.fleet.folder, name + ".log"), encoding="utf-8", errors="replace") as stream:
                log = stream.read()
            alarms += log.count("E6011")
            secrets_in_logs += log.count("a" * 32) + log.count("b" * 32)
        never = self.fleet.judge()["never"]
        return {"deployment": self.given.deployment, "walls": not self.given.without, "quiet": self.given.quiet, "seed": self.given.seed, "seconds": self.given.seconds, "tenants": len(tenants),
                "sent": self.sent, "outcomes": self.outcomes, "hits": total, "reuse_share": {"least": round(shares[0], 3), "median": round(shares[len(shares) // 2], 3), "most": round(shares[-1], 3)},
                "tenants_without_own_hit": sum(1 for entry in tenants.values() if entry["own_hits"] == 0), "furrows_told_since_last_start": seen, "alarms_in_logs": alarms, "secrets_in_logs": secrets_in_logs,
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
        tenants = sorted(run["by_tenant"].items())
        step = width / max(1, len(tenants))
        hits = run["hits"]
        out.append(f'<text x="{left}" y="{top - 12}">{run["deployment"]}, {"with walls" if run["walls"] else "without walls"}: share of prompt tokens reused, by tenant ({hits["crossed_hits"]} of {hits["crossed_hits"] + hits["own_hits"] + hits["public_hits"]} hits on another tenant\'s parts)</text>')
        for part in (0, 0.5, 1):
            y = top + height * (1 - part)
            out.append(f'<line x1="{left}" x2="{left + width}" y1="{y}" y2="{y}" stroke="#ccc"/><text x="{left - 30}" y="{y + 4}">{part}</text>')
        for index, (_, entry) in enumerate(tenants):
            crossed = entry["reuse"] * entry["crossed"] / max(1, entry["crossed"] + entry["own"])
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
    parser.add_argument("--quiet", action="store_true", help="nothing befalls the fleet")
    parser.add_argument("--out")
    given = parser.parse_args()
    if given.deployment == "plot":
        return plot(given.words)
    given.folder = given.folder or tempfile.mkdtemp(prefix="finchlink-walls-")
    run = Run(given)
    try:
        run.start()
        report = run.report(asyncio.run(run.play()))
    finally:
        run.fleet.down()
    if given.out:
        with open(given.out, "w", encoding="utf-8") as stream:
            json.dump(report, stream, indent=1)
    short = dict(report)
    del short["by_tenant"]
    print(json.dumps(short, indent=1))
    crossed = report["hits"]["crossed_hits"] + report["hits"]["old_weights_hits"]
    good = not report["did_not_occur"] and report["secrets_in_logs"] == 0
    if given.without:
        good = good and crossed > 0
    else:
        good = good and crossed == 0 and report["alarms_in_logs"] == 0 and report["tenants_without_own_hit"] == 0 and all(entry["status"] == 400 for entry in report["refusals"].values())
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
