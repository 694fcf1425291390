#!/usr/bin/env python3
"""Runs a whole fleet on one machine and brings failures about.

  fleet.py up DEPLOYMENT [--folder F] [--build B]   start it and put its setup
  fleet.py load [SECONDS] [--scale X]               run the callers, print both reports
  fleet.py kill|freeze|thaw|start NAME ...          a process, or all of a machine or hall
  fleet.py wipe NAME                                take a trellis's disk away (when it is killed)
  fleet.py judge | status | down
"""
import argparse
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))


class Fleet:
    def __init__(self, folder, build):
        self.folder = os.path.abspath(folder)
        self.build = build
        self.state_path = os.path.join(self.folder, "fleet-state.json")
        self.state = {}
        if os.path.exists(self.state_path):
            with open(self.state_path, encoding="utf-8") as stream:
                self.state = json.load(stream)

    def save(self):
        with open(self.state_path, "w", encoding="utf-8") as stream:
            json.dump(self.state, stream, indent=1)

    def plan(self, deployment, overrides=None):
        """Writes the settings of every process of a deployment."""
        with open(os.path.join(ROOT, "deployments", deployment, "fleet.json"), encoding="utf-8") as stream:
            fleet = json.load(stream)
        fleet.update(overrides or {})
        os.makedirs(self.folder, exist_ok=True)
        port = fleet["base_port"]
        processes = {}
        workers, seeds, number = [], [], 0
        for hall in fleet["halls"]:
            seeds.append(f"127.0.0.1:{port + len(seeds)}")
        list_address = f"127.0.0.1:{port + 10}"
        hall_index = 0
        for hall, place in fleet["halls"].items():
            for machine in range(place["machines"]):
                number += 1
                name = f"m{number:02d}"
                processes[f"furrow-{name}"] = {
                    "program": "furrow", "machine": name, "hall": hall,
                    "settings": {"name": f"furrow-{name}", "hall": hall, "http_address": f"127.0.0.1:{port + 100 + number}", "seeds": seeds, "log_level": "info"}}
                if machine < fleet.get("trellises_per_hall", 2):
                    disk = machine == 0
                    address = seeds[hall_index] if disk else f"127.0.0.1:{port + 20 + number}"
                    settings = {"name": f"trellis-{name}", "hall": hall, "http_address": f"127.0.0.1:{port + 200 + number}", "colleague_address": address,
                                "seeds": seeds, "platform_address": list_address, "log_level": "info"}
                    if disk:
                        settings["data_folder"] = os.path.join(self.folder, f"data-{name}")
                    processes[f"trellis-{name}"] = {"program": "trellis", "machine": name, "hall": hall, "settings": settings}
            for kind, count in (("model", place["model_workers"]), (fleet["plain_kind"], place["plain_workers"])):
                for index in range(count):
                    identity = f"{kind}-{hall}-{index + 1}"
                    workers.append({"id": identity, "address": f"127.0.0.1:{port + 400 + len(workers)}", "zone": hall, "region": place["region"], "kind": kind})
            hall_index += 1
        bed = {"list_address": list_address, "workers": workers, "model": fleet["model"], "seed": 7}
        bed.update(fleet.get("bed", {}))
        harvest = {"targets": [p["settings"]["http_address"] for p in processes.values() if p["program"] == "furrow"], "ledger": list_address, "mixes": fleet["mixes"]}
        for name, content in (("bed", bed), ("harvest", harvest)):
            with open(os.path.join(self.folder, name + ".json"), "w", encoding="utf-8") as stream:
                json.dump(content, stream, indent=1)
        for name, process in processes.items():
            with open(os.path.join(self.folder, name + ".json"), "w", encoding="utf-8") as stream:
                json.dump(process["settings"], stream, indent=1)
        self.state = {"deployment": deployment, "processes": processes, "list": list_address, "pids": {}, "build": self.build,
                      "trellises": [p["settings"]["http_address"] for p in processes.values() if p["program"] == "trellis"]}
        self.save()

    def deployment(self):
        with open(os.path.join(ROOT, "deployments", self.state["deployment"], "fleet.json"), encoding="utf-8") as stream:
            return json.load(stream)

    def start(self, name):
        program = "seedbed" if name == "seedbed" else self.state["processes"][name]["program"]
        binary = os.path.join(ROOT, self.state["build"], program)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        arguments = [binary, os.path.join(self.folder, "bed.json")] if name == "seedbed" else [binary, "--settings", os.path.join(self.folder, name + ".json")]
        process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        self.state["pids"][name] = process.pid
        self.save()

    def names(self, word):
        """A process, or the processes of a machine or hall."""
        if word == "seedbed" or word in self.state["processes"]:
            return [word]
        found = [n for n, p in self.state["processes"].items() if word in (p["machine"], p["hall"], p["program"])]
        if not found:
            sys.exit(f"no process, machine or hall '{word}'")
        return found

    def signal(self, name, number):
        pid = self.state["pids"].get(name)
        if pid:
            try:
                os.kill(pid, number)
            except ProcessLookupError:
                pass
            if number in (signal.SIGKILL, signal.SIGTERM):
                try:
                    os.waitpid(pid, 0)
                except ChildProcessError:
                    for _ in range(1500):
                        if not os.path.exists(f"/proc/{pid}") or open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()[0] == "Z":
                            break
                        time.sleep(0.01)
                del self.state["pids"][name]
                self.save()

    def ask(self, address, path, method="GET", body=None, headers=None, timeout=15):
        request = urllib.request.Request(f"http://{address}{path}", method=method, data=body.encode() if body is not None else None, headers=headers or {})
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except OSError as error:
            return 0, str(error)

    def wait_ready(self, seconds=30):
        """Until every furrow that runs is ready; returns how long it took."""
        began = time.time()
        left = {n: p["settings"]["http_address"] for n, p in self.state["processes"].items() if p["program"] == "furrow" and n in self.state["pids"]}
        while left and time.time() - began < seconds:
            left = {n: a for n, a in left.items() if self.ask(a, "/-/ready", timeout=2)[0] != 200}
            if left:
                time.sleep(0.1)
        if left:
            sys.exit(f"not ready: {sorted(left)}")
        return time.time() - began

    def put_setup(self, path=None, patch=None):
        with open(path or os.path.join(ROOT, "deployments", self.state["deployment"], "setup.json"), encoding="utf-8") as stream:
            setup = json.load(stream)
        for key, value in (patch or {}).items():
            setup.setdefault(key, {}).update(value)
        for _ in range(100):
            for address in self.state["trellises"]:
                status, body = self.ask(address, "/setup", "PUT", json.dumps(setup))
                if status == 200:
                    return body
                if status in (400, 422):
                    sys.exit(body)
            time.sleep(0.2)
        sys.exit(f"the setup was not taken: {status} {body}")

    def up(self, deployment, overrides=None, patch=None):
        self.plan(deployment, overrides)
        self.start("seedbed")
        for name in self.state["processes"]:
            self.start(name)
        print(self.put_setup(patch=patch))
        took = self.wait_ready()
        print(f"{len(self.state['pids'])} processes, all furrows ready after {took:.1f} s more")

    def load(self, seconds, scale=1.0, wait=True, extra=None):
        path = os.path.join(self.folder, "harvest.json")
        with open(path, encoding="utf-8") as stream:
            harvest = json.load(stream)
        harvest["scale"] = scale
        harvest.update(extra or {})
        run_path = os.path.join(self.folder, "harvest-run.json")
        with open(run_path, "w", encoding="utf-8") as stream:
            json.dump(harvest, stream)
        process = subprocess.Popen([os.path.join(ROOT, self.state["build"], "gleaner"), run_path, str(seconds)], stdout=subprocess.PIPE, text=True)
        if not wait:
            return process
        return json.loads(process.communicate()[0])

    def judge(self):
        return json.loads(self.ask(self.state["list"], "/ledger", timeout=60)[1])

    def down(self):
        for name in list(self.state.get("pids", {})):
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("command")
    parser.add_argument("words", nargs="*")
    parser.add_argument("--folder", default="/tmp/finchlink-fleet")
    parser.add_argument("--build", default="build")
    parser.add_argument("--scale", type=float, default=1.0)
    given = parser.parse_args()
    fleet = Fleet(given.folder, given.build)
    if given.command == "up":
        fleet.up(given.words[0])
    elif given.command == "load":
        print(json.dumps(fleet.load(float(given.words[0]) if given.words else 20, given.scale), indent=1))
        print(json.dumps(fleet.judge(), indent=1))
    elif given.command == "judge":
        print(json.dumps(fleet.judge(), indent=1))
    elif given.command == "status":
        for name, pid in fleet.state["pids"].items():
            print(name, pid, "runs" if os.path.exists(f"/proc/{pid}") else "gone")
    elif given.command == "wipe":
        import shutil
        for name in fleet.names(given.words[0]):
            folder = fleet.state["processes"][name]["settings"].get("data_folder")
            if folder:
                shutil.rmtree(folder, ignore_errors=True)
    elif given.command == "down":
        fleet.down()
    elif given.command in ("kill", "freeze", "thaw", "start"):
        for word in given.words:
            for name in fleet.names(word):
                if given.command == "start":
                    fleet.start(name)
                else:
                    fleet.signal(name, {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP, "thaw": signal.SIGCONT}[given.command])
    else:
        parser.error("unknown command")


if __name__ == "__main__":
    main()
