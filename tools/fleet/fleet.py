#!/usr/bin/env python3
"""Runs a whole fleet on one machine and brings failures about.

  fleet.py up DEPLOYMENT [--folder F] [--build B]   start it and put its setup
  fleet.py load [SECONDS] [--scale X]               run the callers, print both reports
  fleet.py kill|freeze|thaw|start NAME ...          a process, or all of a machine or hall
  fleet.py wipe NAME                                take a trellis's disk away (when it is killed)
  fleet.py cut|heal FROM TO                         one way; machines, halls, regions, all (up --network)
  fleet.py judge | status | down

With up --platform the programs get the users' platform's settings files, and a stand-in
plays its worker list and workers (docs/operating/platform.md).
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
sys.path.insert(0, os.path.join(ROOT, "source", "tests", "platform"))
import standin  # noqa: E402


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

    def plan(self, deployment, overrides=None, network=False):
        """Writes the settings of every process of a deployment."""
        with open(os.path.join(ROOT, "deployments", deployment, "fleet.json"), encoding="utf-8") as stream:
            fleet = json.load(stream)
        fleet.update(overrides or {})
        os.makedirs(self.folder, exist_ok=True)
        port = fleet["base_port"]
        routes, machines = [], []

        def known(number, at):
            """The address that others know: behind stile, if there is one."""
            if not network:
                return f"127.0.0.1:{at}"
            routes.append({"listen": f"127.0.1.{number}:{at}", "to": f"127.0.2.{number}:{at}"})
            return routes[-1]["listen"]
        processes = {}
        workers, seeds, number = [], [], 0
        first = 1
        for hall in fleet["halls"].values():
            seeds.append(known(first, port + len(seeds)))
            first += hall["machines"]
        list_address = f"127.0.0.1:{port + 10}"
        platform = list_address
        if network:  # the platform stands on a machine of its own, and so do the workers of a hall
            platform = f"127.0.1.200:{port + 10}"
            routes.append({"listen": platform, "to": list_address})
        hall_index = 0
        for hall, place in fleet["halls"].items():
            for machine in range(place["machines"]):
                number += 1
                name = f"m{number:02d}"
                own = {"own_ip": f"127.0.2.{number}"} if network else {}
                machines.append({"ip": f"127.0.2.{number}", "name": name, "hall": hall, "region": place["region"]})
                processes[f"furrow-{name}"] = {
                    "program": "furrow", "machine": name, "hall": hall,
                    "settings": {"name": f"furrow-{name}", "hall": hall, "http_address": known(number, port + 100 + number), "seeds": seeds, "log_level": "info", **own}}
                if machine < fleet.get("trellises_per_hall", 2):
                    disk = machine == 0
                    address = seeds[hall_index] if disk else known(number, port + 20 + number)
                    settings = {"name": f"trellis-{name}", "hall": hall, "http_address": known(number, port + 200 + number), "colleague_address": address, **own,
                                "seeds": seeds, "platform_address": platform, "log_level": "info"}
                    if disk:
                        settings["data_folder"] = os.path.join(self.folder, f"data-{name}")
                    processes[f"trellis-{name}"] = {"program": "trellis", "machine": name, "hall": hall, "settings": settings}
            for kind, count in (("model", place["model_workers"]), (fleet["plain_kind"], place["plain_workers"])):
                for index in range(count):
                    identity = f"{kind}-{hall}-{index + 1}"
                    workers.append({"id": identity, "address": known(100 + hall_index, port + 400 + len(workers)), "listen": routes[-1]["to"] if network else "", "zone": hall, "region": place["region"], "kind": kind})
            machines.append({"ip": f"127.0.2.{100 + hall_index}", "name": f"workers-{hall}", "hall": "", "region": place["region"]})
            hall_index += 1
        machines.append({"ip": "127.0.0.1", "name": "platform"})
        if network:
            with open(os.path.join(self.folder, "stile.json"), "w", encoding="utf-8") as stream:
                json.dump({"control": f"127.0.0.1:{port + 11}", "routes": routes, "machines": machines, "hop_ms": fleet.get("hop_ms", 0)}, stream, indent=1)
        bed = {"list_address": list_address, "workers": workers, "model": fleet["model"], "seed": 7}
        bed.update(fleet.get("bed", {}))
        harvest = {"targets": [p["settings"]["http_address"] for p in processes.values() if p["program"] == "furrow"], "ledger": list_address, "mixes": fleet["mixes"]}
        for name, content in (("bed", bed), ("harvest", harvest)):
            with open(os.path.join(self.folder, name + ".json"), "w", encoding="utf-8") as stream:
                json.dump(content, stream, indent=1)
        for name, process in processes.items():
            with open(os.path.join(self.folder, name + ".json"), "w", encoding="utf-8") as stream:
                json.dump(process["settings"], stream, indent=1)
        self.state = {"deployment": deployment, "processes": processes, "list": list_address, "pids": {}, "build": self.build, "stile": f"127.0.0.1:{port + 11}" if network else "",
                      "trellises": [p["settings"]["http_address"] for p in processes.values() if p["program"] == "trellis"]}
        self.save()

    def plan_platform(self, deployment):
        """The same deployment as the users' platform would run it."""
        with open(os.path.join(ROOT, "deployments", deployment, "fleet.json"), encoding="utf-8") as stream:
            fleet = json.load(stream)
        os.makedirs(self.folder, exist_ok=True)
        halls = fleet["halls"]
        counts = {"pool": max(hall["model_workers"] for hall in halls.values()), "web": max(hall["plain_workers"] for hall in halls.values())}
        plan = standin.plan(self.folder, "127.0.3", {name: hall["region"] for name, hall in halls.items()}, min(hall["machines"] for hall in halls.values()), counts)
        for name, process in plan["processes"].items():
            process["hall"] = process["zone"]
            os.makedirs(standin.data_folder(process["settings"]) or self.folder, exist_ok=True)
            with open(os.path.join(self.folder, name + ".yaml"), "w", encoding="utf-8") as stream:
                json.dump(process["settings"], stream, indent=1)
        with open(os.path.join(self.folder, "bed.json"), "w", encoding="utf-8") as stream:
            json.dump(plan, stream, indent=1)
        controls = [f"{process['ip']}:{standin.CONTROL}" for process in plan["processes"].values() if process["program"] == "trellis"]
        self.state = {"deployment": deployment, "platform": True, "processes": plan["processes"], "list": plan["cloud"], "pids": {}, "build": self.build, "stile": "", "trellises": controls}
        self.save()

    def up_platform(self, deployment):
        self.plan_platform(deployment)
        for name in ["seedbed", *self.state["processes"]]:
            self.start(name)
        path = os.path.join(self.folder, "charter.json")
        with open(path, "w", encoding="utf-8") as stream:
            json.dump(standin.charter(1, {"pool": True, "web": False}, {"talk": ("pool", "stream"), "plain": ("web", "safe")}), stream, indent=1)
        command = [os.path.join(ROOT, self.build, "trellis"), "charter", "put", path, "--expect", "0", "--at", ",".join(self.state["trellises"])]
        if not standin.until(lambda: subprocess.run(command, capture_output=True, check=False).returncode == 0):
            sys.exit("the charter was not taken")
        for name, process in self.state["processes"].items():
            if process["program"] == "furrow" and not standin.until(lambda: self.ask(f"{process['ip']}:{standin.READY}", standin.READINESS_PATH)[0] == 200):
                sys.exit(f"not ready: {name}")
        print(f"{len(self.state['pids'])} processes, all furrows ready; trellises: {','.join(self.state['trellises'])}")

    def deployment(self):
        with open(os.path.join(ROOT, "deployments", self.state["deployment"], "fleet.json"), encoding="utf-8") as stream:
            return json.load(stream)

    def start(self, name):
        program = name if name in ("seedbed", "stile") else self.state["processes"][name]["program"]
        binary = os.path.join(ROOT, self.state["build"], program)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        arguments = [binary, os.path.join(self.folder, {"seedbed": "bed", "stile": "stile"}[name] + ".json")] if name in ("seedbed", "stile") else [binary, "--settings", os.path.join(self.folder, name + ".json")]
        environment = None
        if self.state.get("platform"):
            arguments = [sys.executable, standin.__file__, os.path.join(self.folder, "bed.json")] if name == "seedbed" else [binary]
            environment = {"PATH": os.environ["PATH"], standin.SETTINGS_VARIABLE: os.path.join(self.folder, name + ".yaml")}
        process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True, env=environment)
        self.state["pids"][name] = process.pid
        self.save()

    def names(self, word):
        """A process, or the processes of a machine or hall."""
        if word in ("seedbed", "stile") or word in self.state["processes"]:
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

    def cut(self, one, other, heal=False):
        """Cuts or heals what goes from one to the other: machines, halls, regions, all."""
        status, body = self.ask(self.state["stile"], f"/{'heal' if heal else 'cut'}/{one}/{other}", "POST", "")
        if status != 200:
            raise RuntimeError(f"cut {one} {other}: {status} {body}")

    def up(self, deployment, overrides=None, patch=None, network=False):
        self.plan(deployment, overrides, network)
        self.start("seedbed")
        if network:
            self.start("stile")
            time.sleep(0.3)
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
    parser.add_argument("--network", action="store_true", help="put stile between the machines: hops between regions, and cuts")
    parser.add_argument("--platform", action="store_true", help="as the users' platform runs it")
    given = parser.parse_args()
    fleet = Fleet(given.folder, given.build)
    if given.command == "up" and given.platform:
        fleet.up_platform(given.words[0])
    elif given.command == "up":
        fleet.up(given.words[0], network=given.network)
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
            settings = fleet.state["processes"][name]["settings"]
            folder = standin.data_folder(settings) if fleet.state.get("platform") else settings.get("data_folder")
            if folder:
                shutil.rmtree(folder, ignore_errors=True)
    elif given.command in ("cut", "heal"):
        fleet.cut(given.words[0], given.words[1], given.command == "heal")
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
