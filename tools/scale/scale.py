#!/usr/bin/env python3
"""Measures what the control plane costs, and what that makes at a target size.

  scale.py measure --out FILE [--furrows 24,96,300] [--workers 48,200,600] [--manner own|wide]
  scale.py slopes FILE        cost per furrow, worker and change, fitted to the runs
  scale.py page FILE TEXT PAGE  the page from the runs and its text (tools/scale/capacity.md.in)

A run: three trellises with data folders, one platform list, and N hollow furrows in one
process (`gourd`), all on this machine over loopback. A quiet window, then one in which
the setup changes at a rate. Nothing but what was measured goes into FILE; pages and
slopes are computed from it.
"""
import argparse
import http.server
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HALLS = {f"hall-{number:02d}": f"region-{(number - 1) // 3 + 1}" for number in range(1, 19)}
MANNERS = {
    "own": {},
    # As source/common/constants.hpp has them for callers that are served on without a vouch.
    "wide": {"stop_unvouched": False, "ask_hold_ms": 1000, "ask_patience_ms": 700, "ask_deadline_ms": 1700, "confirm_pause_ms": 400, "acknowledge_wait_ms": 0,
             "tell_pause_ms": 600, "session_bound_ms": 2500, "list_pause_ms": 700, "list_rate": 47},
}
TRELLISES = 3


def boot_now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformList:
    """The product's own /workers with a given number of workers; counts what it answers."""

    def __init__(self, port, workers, churn):
        names = list(HALLS)
        self.entries = [{"id": f"worker-{index:04d}", "address": f"10.{128 + index // 250}.0.{index % 250 + 1}:8080", "zone": names[index % len(names)], "kind": "model", "draining": False,
                    "labels": {}, "service": "chat", "capacity": 8, "cold_ms": 0, "left_ms": 0} for index in range(workers)]
        self.body = json.dumps({"revision": 1, "workers": self.entries}).encode()
        outer = self
        self.calls = 0
        self.changes = 0
        self.ended = threading.Event()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                outer.calls += 1
                body = outer.body
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.send_header("Connection", "close")
                self.end_headers()
                self.wfile.write(body)
                self.close_connection = True

            def log_message(self, *_):
                pass

        self.size = len(self.body)
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        if churn > 0:
            threading.Thread(target=self.churn, args=(churn,), daemon=True).start()

    def churn(self, rate):
        """One worker after the other begins or ends draining."""
        while not self.ended.wait(1 / rate):
            entry = self.entries[self.changes % len(self.entries)]
            entry["draining"] = not entry["draining"]
            self.changes += 1
            self.body = json.dumps({"revision": 1 + self.changes, "workers": self.entries}).encode()

    def close(self):
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()


def ask(address, path, method="GET", body=None, timeout=12):
    request = urllib.request.Request(f"http://{address}{path}", method=method, data=body.encode() if body is not None else None)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


def processor_seconds(pid):
    """Of all threads, in nanoseconds where the system counts so fine."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/schedstat", encoding="ascii") as stream:
                total += int(stream.read().split()[0])
        except FileNotFoundError:
            pass
    if total == 0:
        with open(f"/proc/{pid}/stat", encoding="ascii") as stream:
            fields = stream.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return total / 1e9


def memory(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as stream:
        text = stream.read()
    return {name: int(re.search(rf"Vm{name}:\s+(\d+)", text).group(1)) / 1024 for name in ("RSS", "HWM")}


class Fleet:
    def __init__(self, given, furrows, workers):
        self.given, self.furrows, self.workers = given, furrows, workers
        self.folder = tempfile.mkdtemp(prefix="finchlink-scale-")
        self.processes, self.logs = {}, {}
        self.operators = []
        self.list = None

    def start(self, name, program, settings, flag):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as stream:
            json.dump(settings, stream)
        self.logs[name] = os.path.join(self.folder, name + ".log")
        with open(self.logs[name], "ab") as log:
            self.processes[name] = subprocess.Popen([os.path.join(ROOT, self.given.build, program), *flag, path], stdout=log if flag else subprocess.PIPE, stderr=log,
                                                    stdin=subprocess.DEVNULL, text=True)

    def up(self):
        port = self.given.port
        self.list = PlatformList(port, self.workers, self.given.churn)
        seeds = [f"127.0.0.1:{port + 1 + index}" for index in range(TRELLISES)]
        bounds = MANNERS[self.given.manner]
        halls = list(HALLS)
        for index in range(TRELLISES):
            operator = f"127.0.0.1:{port + 11 + index}"
            self.operators.append(operator)
            self.start(f"trellis-{index}", "trellis",
                       {"name": f"trellis-{index}", "hall": halls[index * 6], "http_address": operator, "colleague_address": seeds[index], "seeds": seeds,
                        "platform_address": f"127.0.0.1:{port}", "data_folder": os.path.join(self.folder, f"data-{index}"), "threads": self.given.threads,
                        **({"bounds": bounds} if bounds else {})}, ["--settings"])
        setup = {"regions": {region: {"halls": [hall for hall in HALLS if HALLS[hall] == region]} for region in sorted(set(HALLS.values()))},
                 "rules": {f"rule-{index:03d}": {"match": {"path_prefix": f"/service-{index:03d}/"}, "kind": "plain", "selector": {"key": "kind", "op": "equals", "values": ["model"]},
                                                 "deadline_ms": 15000} for index in range(self.given.rules)}}
        self.setup_bytes = len(json.dumps(setup, separators=(",", ":")))
        self.until(lambda: ask(self.operators[0], "/setup", "PUT", json.dumps(setup))[0] == 200, 20, "the setup was not taken")
        self.start("gourd", "gourd",
                   {"seeds": seeds, "furrows": self.furrows, "halls": HALLS, "warm": self.given.warm, "stir_ms": self.given.stir, "figures": self.given.figures,
                    "samples": self.given.samples, "ask_deadline_ms": bounds.get("ask_deadline_ms", 700), "ask_hold_ms": bounds.get("ask_hold_ms", 250),
                    # Relays tell digests and rest between asks; furrows of our own manner do neither.
                    "whole": self.given.manner == "own", "ask_least_ms": 0 if self.given.manner == "own" else 150}, [])
        self.until(lambda: len(json.loads(ask(self.operators[0], "/members")[1] or "[]")) == self.furrows, 20, "not all furrows are members", fatal=False)
        time.sleep(3)

    def until(self, good, seconds, complaint, fatal=True):
        end = time.time() + seconds
        while time.time() < end:
            try:
                if good():
                    return
            except ValueError:
                pass
            time.sleep(0.2)
        if fatal:
            raise RuntimeError(complaint)
        print("  " + complaint, file=sys.stderr)

    def mark(self):
        """Processor time, memory and frames of every process, now."""
        marks = {}
        for name, process in self.processes.items():
            with open(self.logs[name], encoding="utf-8", errors="replace") as stream:
                seen = stream.read().count("ProcessTraffic")
            process.send_signal(signal.SIGUSR1)
            at, spent = boot_now(), processor_seconds(process.pid)
            end, lines = time.time() + 3, []
            while time.time() < end:
                with open(self.logs[name], encoding="utf-8", errors="replace") as stream:
                    lines = [line for line in stream.read().splitlines() if "ProcessTraffic" in line]
                if len(lines) > seen:
                    break
                time.sleep(0.01)
            if len(lines) <= seen:
                raise RuntimeError(f"{name} told no traffic")
            marks[name] = {"at": at, "spent": spent, "frames": json.loads(lines[-1][lines[-1].index("{"):]), **memory(process.pid)}
        marks["list"] = {"at": boot_now(), "calls": self.list.calls, "changes": self.list.changes}
        return marks

    def window(self, seconds, rate):
        changes, workers = [], []
        before = self.mark()
        began = time.time()

        def change(number):
            sent = boot_now()
            status, body = ask(self.operators[number % TRELLISES], "/setup", "PATCH", json.dumps({"rules": {"rule-000": {"rank": number + 1}}}))
            changes.append({"sent": sent, "answered": boot_now(), "status": status, "revision": json.loads(body).get("revision", 0) if status == 200 else 0})

        number = 0
        while time.time() - began < seconds:
            if rate > 0 and time.time() - began >= number / rate and number < int(rate * (seconds - 3)):
                workers.append(threading.Thread(target=change, args=(number,)))
                workers[-1].start()
                number += 1
            time.sleep(0.02)
        for worker in workers:
            worker.join()
        after = self.mark()
        result = {"seconds": after["gourd"]["at"] - before["gourd"]["at"], "changes": changes, "list_calls": after["list"]["calls"] - before["list"]["calls"],
                  "list_changes": after["list"]["changes"] - before["list"]["changes"], "processes": {}}
        for name, end in after.items():
            if name == "list":
                continue
            begin = before[name]
            span = end["at"] - begin["at"]
            frames = {}
            for kind, counts in end["frames"].items():
                old = begin["frames"].get(kind, [0, 0, 0, 0])
                frames[kind] = [round((counts[index] - old[index]) / span, 3) for index in range(4)]
            result["processes"][name] = {"processor": round((end["spent"] - begin["spent"]) / span, 6), "memory_mb": round(end["RSS"], 2), "peak_mb": round(end["HWM"], 2),
                                         "frames_per_s": {kind: counts for kind, counts in frames.items() if any(counts)}}
        return result

    def down(self):
        told = {}
        for name, process in reversed(list(self.processes.items())):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM if name == "gourd" else signal.SIGKILL)
            if name == "gourd":
                try:
                    told = json.loads(process.communicate(timeout=10)[0])
                except (subprocess.TimeoutExpired, ValueError):
                    process.kill()
            process.wait()
        if self.list:
            self.list.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        return told


def run_once(given, furrows, workers):
    fleet = Fleet(given, furrows, workers)
    entry = {"furrows": furrows, "workers": workers, "manner": given.manner, "warm": given.warm, "stir_ms": given.stir, "figures": given.figures, "samples": given.samples, "rules": given.rules, "churn": given.churn}
    try:
        fleet.up()
        entry["setup_bytes"], entry["list_bytes"] = fleet.setup_bytes, fleet.list.size
        entry["quiet"] = fleet.window(given.seconds, 0)
        entry["changing"] = fleet.window(given.seconds, given.rate)
        entry["load_average"] = os.getloadavg()[0]
    finally:
        told = fleet.down()
    entry.update({key: told.get(key) for key in ("asks", "unanswered", "unvouched", "lapses")})
    spans, lacking = [], 0
    for change in entry["changing"]["changes"]:
        held = told.get("adopted", {}).get(str(change["revision"]), [])
        later = [moment for revision, moments in told.get("adopted", {}).items() if int(revision) > change["revision"] for moment in moments]
        spans += [moment / 1e6 - change["sent"] for moment in held]
        # Whoever went straight to a later revision holds this one too.
        lacking += max(0, furrows - len(held)) if change["revision"] and not later else 0
    spans.sort()
    entry["spread"] = {"changes": len(entry["changing"]["changes"]), "refused": sum(1 for change in entry["changing"]["changes"] if not change["revision"]),
                       "answer_s": round(max([c["answered"] - c["sent"] for c in entry["changing"]["changes"]], default=0), 3), "furrows_lacking": lacking,
                       "p50_s": round(spans[len(spans) // 2], 3) if spans else None, "max_s": round(spans[-1], 3) if spans else None}
    return entry


def summary(entry):
    lines = []
    for window in ("quiet", "changing"):
        processes = entry[window]["processes"]
        trellises = [process for name, process in processes.items() if name != "gourd"]
        gourd = processes["gourd"]
        news = gourd["frames_per_s"]
        out, back = news.get("NewsAsk", [0] * 4), news.get("NewsAnswer", [0] * 4)
        lines.append(f"  {window:8} trellis {100 * sum(t['processor'] for t in trellises) / len(trellises):6.2f}% of a core, {max(t['peak_mb'] for t in trellises):6.1f} MB; "
                     f"furrow {100 * gourd['processor'] / entry['furrows']:6.3f}%, {gourd['memory_mb']:6.1f} MB all, {out[0] / entry['furrows']:5.2f} asks/s, {out[1] / entry['furrows'] / 1000:7.2f} KB/s out, {back[3] / entry['furrows'] / 1000:8.2f} KB/s in")
    lines.append(f"  spread {entry['spread']}; unanswered {entry['unanswered']} unvouched {entry['unvouched']} of {entry['asks']} asks")
    return "\n".join(lines)


def measure(given):
    runs = []
    if os.path.exists(given.out):
        with open(given.out, encoding="utf-8") as stream:
            runs = json.load(stream)
    for furrows in [int(part) for part in given.furrows.split(",")]:
        for workers in [int(part) for part in given.workers.split(",")]:
            print(f"{furrows} furrows, {workers} workers, {given.manner}", flush=True)
            entry = run_once(given, furrows, workers)
            print(summary(entry), flush=True)
            runs.append(entry)
            with open(given.out, "w", encoding="utf-8") as stream:
                json.dump(runs, stream, indent=1)
                stream.write("\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("command", choices=["measure", "slopes", "page"])
    parser.add_argument("paths", nargs="*")
    parser.add_argument("--out", default="scale.json")
    parser.add_argument("--build", default="build")
    parser.add_argument("--port", type=int, default=26100)
    parser.add_argument("--furrows", default="24,96,300")
    parser.add_argument("--workers", default="48,200,600")
    parser.add_argument("--manner", choices=sorted(MANNERS), default="own")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--rate", type=float, default=0.5, help="changes a second in the second window")
    parser.add_argument("--rules", type=int, default=40)
    parser.add_argument("--threads", type=int, default=1, help="of each trellis")
    parser.add_argument("--warm", action="store_true", help="furrows tell the workers of their region as warm")
    parser.add_argument("--stir", type=int, default=0, help="ms after which a furrow tells another load; 0: never")
    parser.add_argument("--churn", type=float, default=0, help="changes a second of the platform list, one worker each")
    parser.add_argument("--figures", type=int, default=0)
    parser.add_argument("--samples", type=int, default=0)
    given = parser.parse_args()
    if given.command == "measure":
        measure(given)
    else:
        sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
        import page
        page.run(given.command, given.paths)


if __name__ == "__main__":
    main()
