"""The processes of one run: settings, starting, killing, pausing, and the network between them.

Every machine has two addresses: PREFIX.N, which others know and the network stand-in listens
on, and PREFIX.(100 + N), where its processes listen and from which they connect.
"""
import dataclasses
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

import history as records

CLAIM_PORT = 7720
CONTROL_PORT, COLLEAGUE_PORT, CALLER_PORT, READY_PORT, LIST_PORT, WORKER_PORT = 7701, 7702, 7703, 7704, 7705, 7706
OPERATOR_IPS = {"operator-1": 240, "operator-2": 241}
REGION_OF_ZONE = {0: "east", 1: "east", 2: "west"}
CORE_MACHINES = 6
TOLERATED = 2
VOTERS = 2 * TOLERATED + 1
# What source/platform/settings.cpp sets for a large site.
BOUNDS = {"stop_unvouched": False, "ask_hold_ms": 1000, "ask_patience_ms": 700, "ask_deadline_ms": 1700, "confirm_pause_ms": 400, "acknowledge_wait_ms": 0, "tell_pause_ms": 600,
          "session_bound_ms": 2500, "list_pause_ms": 700}
WORKER_KIND = "web"


@dataclasses.dataclass
class Process:
    name: str
    program: str
    machine: str
    zone: str
    settings: dict
    own_ip: str
    lives: int = 0
    popen: typing.Optional[subprocess.Popen] = None
    started_at: float = 0.0
    down_for: set = dataclasses.field(default_factory=set)  # faults that keep it down
    paused_for: set = dataclasses.field(default_factory=set)
    stopping: bool = False  # was told to end by SIGTERM


def claim():
    """The beginning of IP numbers that no other run holds, and the socket that holds it."""
    for number in range(os.getpid(), os.getpid() + 80 * 256):
        prefix = f"127.{170 + number // 256 % 80}.{number % 256}"
        try:
            return prefix, socket.create_server((f"{prefix}.250", CLAIM_PORT))
        except OSError:
            continue
    raise RuntimeError("all addresses are taken")


def call(address, method, path, body=None, headers=None, timeout=1.0, source=None):
    """One exchange; gives status (0: no answer), headers and body."""
    ip, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout, source_address=(source, 0) if source else None)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Cluster:
    def __init__(self, folder, programs, furrows, seed, history, power_loss):
        self.folder, self.programs, self.history, self.power_loss = folder, programs, history, power_loss
        self.random = random.Random(f"cluster {seed}")
        self.lock = threading.RLock()
        self.prefix, self.held = claim()
        self.processes, self.helpers = {}, []
        self.zones = [f"zone-{index}" for index in range(3 if furrows < 18 else 6)]
        self.regions = {zone: REGION_OF_ZONE[index % 3] for index, zone in enumerate(self.zones)}
        self.machines = {f"m{number:02d}": self.zones[number % len(self.zones)] for number in range(1, max(furrows, CORE_MACHINES) + 1)}
        self.core = [name for name in self.machines][:CORE_MACHINES]
        self.closing = False
        os.makedirs(folder, exist_ok=True)
        founders = self.core[:VOTERS if self.random.random() < 0.5 else 3]
        self.seeds = [f"{self.known_ip(machine)}:{COLLEAGUE_PORT}" for machine in self.core]
        for machine in self.core:
            self.plan_trellis(machine, [f"{self.known_ip(name)}:{COLLEAGUE_PORT}" for name in founders])
        for machine in list(self.machines)[:furrows]:
            self.plan_furrow(machine)

    def number(self, machine):
        return int(machine[1:])

    def known_ip(self, machine):
        return f"{self.prefix}.{self.number(machine)}"

    def own_ip(self, machine):
        return f"{self.prefix}.{100 + self.number(machine)}"

    def common(self, name, machine):
        zone = self.machines[machine]
        return {"name": name, "hall": zone, "region": self.regions[zone], "regions": self.regions, "own_ip": self.own_ip(machine), "threads": 1, "tolerated_machines": TOLERATED, "bounds": BOUNDS}

    def plan_trellis(self, machine, founders):
        name, known = f"trellis-{machine}", self.known_ip(machine)
        settings = {**self.common(name, machine), "http_address": f"{known}:{CONTROL_PORT}", "colleague_address": f"{known}:{COLLEAGUE_PORT}", "seeds": founders,
                    "platform_address": f"{self.prefix}.248:{LIST_PORT}", "data_folder": os.path.join(self.folder, f"data-{machine}"), "founding": True}
        self.processes[name] = Process(name, "trellis", machine, self.machines[machine], settings, self.own_ip(machine))

    def plan_furrow(self, machine):
        name, known = f"furrow-{machine}", self.known_ip(machine)
        settings = {**self.common(name, machine), "http_address": f"{known}:{CALLER_PORT}", "ready_address": f"{known}:{READY_PORT}", "seeds": self.random.sample(self.seeds, 3),
                    "platform_address": f"{self.prefix}.248:{LIST_PORT}", "relay": True}
        self.processes[name] = Process(name, "furrow", machine, self.machines[machine], settings, self.own_ip(machine))

    def named(self, program):
        return [process for process in self.processes.values() if process.program == program]

    def trellises(self):
        return self.named("trellis")

    def furrows(self):
        return self.named("furrow")

    # --- helpers: the network and the workers ---
    def write(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path + ".new", "w", encoding="utf-8") as stream:
            json.dump(content, stream, indent=1)
        os.replace(path + ".new", path)
        return path

    def start_helper(self, name, command, content):
        path = self.write(name + ".json", content)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.helpers.append(subprocess.Popen([*command, path], stdout=log, stderr=log, stdin=subprocess.DEVNULL))

    def start_helpers(self):
        routes, machines = [], []
        for machine, zone in self.machines.items():
            ports = [CALLER_PORT, READY_PORT] + ([CONTROL_PORT, COLLEAGUE_PORT] if machine in self.core else [])
            routes += [{"listen": f"{self.known_ip(machine)}:{port}", "to": f"{self.own_ip(machine)}:{port}"} for port in ports]
            machines.append({"ip": self.own_ip(machine), "name": machine, "hall": zone, "region": self.regions[zone]})
        machines += [{"ip": f"{self.prefix}.{number}", "name": name, "hall": "", "region": ""} for name, number in OPERATOR_IPS.items()]
        self.network = f"{self.prefix}.249:{LIST_PORT}"
        self.start_helper("stile", [os.path.join(self.programs, "stile")], {"control": self.network, "routes": routes, "machines": machines, "hop_ms": 8})
        workers = [{"id": f"worker-{zone}", "address": f"{self.prefix}.{200 + index}:{WORKER_PORT}", "zone": zone, "kind": WORKER_KIND, "service": WORKER_KIND, "capacity": 100} for index, zone in enumerate(self.zones)]
        self.start_helper("workers", [sys.executable, os.path.join(os.path.dirname(os.path.abspath(__file__)), "workers.py")], {"list_address": f"{self.prefix}.248:{LIST_PORT}", "workers": workers})

    def link(self, deed, one, other):
        """cut, lose or heal what goes from one machine to the other."""
        status, _, body = call(self.network, "POST", f"/{deed}/{one}/{other}", body=b"", timeout=5)
        if status != 200:
            raise RuntimeError(f"the network stand-in answered {status} {body} to {deed} {one} {other}")

    def network_counts(self):
        return json.loads(call(self.network, "GET", "/counts", timeout=5)[2] or b"{}")

    # --- processes ---
    def start(self, name, other_seeds=False):
        with self.lock:
            process = self.processes[name]
            if process.popen is not None or process.down_for or self.closing:
                return
            if process.lives > 0:
                process.settings["founding"] = False
            if other_seeds:
                process.settings["seeds"] = self.random.sample(self.seeds, 3)
            if process.program == "trellis" and self.power_loss:
                with open(process.settings["data_folder"] + ".faults.power", "w", encoding="utf-8") as stream:
                    stream.write(self.power_loss)
            path = self.write(name + ".json", process.settings)
            process.lives += 1
            with open(self.log_path(name, process.lives), "ab") as log:
                process.popen = subprocess.Popen([os.path.join(self.programs, process.program), "--settings", path], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
            process.started_at = time.monotonic()
            process.paused_for.clear()
            process.stopping = False

    def log_path(self, name, life):
        return os.path.join(self.folder, f"{name}.{life}.log")

    def kill(self, names, fault):
        """All of them at one moment; they stay down until the fault lets go of them."""
        with self.lock:
            dying = []
            for name in names:
                process = self.processes[name]
                process.down_for.add(fault)
                if process.popen is not None:
                    self.note_exit(process)
                if process.popen is not None:
                    process.popen.send_signal(signal.SIGKILL)
                    dying.append(process)
            for process in dying:
                process.popen.wait()
                process.popen = None

    def stop(self, names, fault):
        """SIGTERM; they stay down until the fault lets go of them."""
        with self.lock:
            for name in names:
                process = self.processes[name]
                process.down_for.add(fault)
                if process.popen is not None:
                    process.stopping = True
                    process.popen.send_signal(signal.SIGTERM)

    def running(self, name):
        with self.lock:
            process = self.processes[name]
            if process.popen is not None:
                self.note_exit(process)
            return process.popen is not None

    def release(self, names, fault, other_seeds=()):
        with self.lock:
            for name in names:
                self.processes[name].down_for.discard(fault)
                self.start(name, name in other_seeds)

    def lose_disk(self, name):
        """Only while the process is down."""
        shutil.rmtree(self.processes[name].settings["data_folder"], ignore_errors=True)

    def pause(self, names, fault):
        with self.lock:
            for name in names:
                process = self.processes[name]
                if process.popen is not None:
                    process.paused_for.add(fault)
                    process.popen.send_signal(signal.SIGSTOP)

    def resume(self, names, fault):
        with self.lock:
            for name in names:
                process = self.processes[name]
                process.paused_for.discard(fault)
                if process.popen is not None and not process.paused_for:
                    process.popen.send_signal(signal.SIGCONT)

    def note_exit(self, process):
        """A process that ended by itself, or with a defect, is a violation; it is started again, so that the run goes on."""
        code = process.popen.poll()
        if code is None:
            return
        if code != 0 or not process.stopping:
            self.history.add(records.ProcessExit(process.name, time.monotonic(), code, process.stopping))
        process.popen = None

    def look(self):
        with self.lock:
            for process in self.processes.values():
                if process.popen is not None:
                    self.note_exit(process)
                    self.start(process.name)
            for helper in self.helpers:
                if helper.poll() is not None:
                    raise RuntimeError(f"{helper.args} ended with {helper.returncode}; see its log in {self.folder}")

    def end(self):
        with self.lock:
            self.closing = True
            for popen in [process.popen for process in self.processes.values() if process.popen is not None] + self.helpers:
                popen.kill()
                popen.wait()
        self.held.close()
