#!/usr/bin/env python3
"""Runs the programs as the users' platform does, and the operators' commands against them.

  fleet_test.py FOLDER-OF-PROGRAMS
"""
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standin  # noqa: E402

PROGRAMS = ""
ZONES = {"north": "dublin", "south": "dublin", "harbour": "cork"}
LANES = {"talk": ("pool", "stream"), "plain": ("web", "safe")}
SERVICES = {"pool": True, "web": False}


def claim():
    """Reserves a prefix of IP addresses that no other run uses; returns it and the socket that reserves it."""
    for number in range(os.getpid(), os.getpid() + 80 * 256):
        prefix = f"127.{170 + number // 256 % 80}.{number % 256}"
        try:
            return prefix, socket.create_server((f"{prefix}.250", standin.OWN))
        except OSError:
            continue
    raise RuntimeError("all addresses are taken")


class Case(unittest.TestCase):
    """A fleet with one machine in each zone and a fake platform; ends with a check of the invariants."""

    workers = {"web": 1}
    maxDiff = None

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.prefix, held = claim()
        self.addCleanup(held.close)
        self.plan = standin.plan(self.folder.name, self.prefix, ZONES, 1, self.workers)
        self.platform = standin.Platform(self.plan["cloud"], self.plan["workers"])
        self.fleet = standin.Fleet(self.folder.name, PROGRAMS, self.plan)
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.platform.stop)
        self.addCleanup(self.fleet.stop)
        self.addCleanup(self.check_invariants)
        self.controls = [f"{process['ip']}:{standin.CONTROL}" for process in self.plan["processes"].values() if process["program"] == "trellis"]

    def check_invariants(self):
        """No process logged a violated invariant."""
        for name, text in self.fleet.text.items():
            self.assertNotIn("E1020", text, name)

    def violations(self, name, port, path):
        """The counters of violated invariants on a process's metrics page."""
        lines = self.ask(name, port, "GET", path)[1].splitlines()
        return [int(line.split()[-1]) for line in lines if line.startswith("finchlink_invariant_violations_total{")]

    def start(self):
        for name in self.plan["processes"]:
            self.fleet.start(name)
        for name in self.plan["processes"]:
            self.assertTrue(self.fleet.logged(name, "E1001"), name)

    def command(self, *words, at=None):
        """Runs an operator's command of the program trellis; returns its exit code and its stdout."""
        result = subprocess.run([os.path.join(PROGRAMS, "trellis"), *words, "--at", at or ",".join(self.controls)], capture_output=True, text=True, timeout=120)
        return result.returncode, result.stdout.strip()

    def file(self, name, content):
        path = os.path.join(self.folder.name, name)
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(content if isinstance(content, str) else json.dumps(content))
        return path

    def put_first(self, number=5):
        path = self.file("charter.json", standin.charter(number, SERVICES, LANES))
        self.assertTrue(standin.until(lambda: self.command("charter", "put", path, "--expect", "0")[0] == 0))
        return path

    def ask(self, name, port, method, path, headers=None):
        connection = http.client.HTTPConnection(self.plan["processes"][name]["ip"], port, timeout=30)
        try:
            connection.request(method, path, headers={"Host": "any.example", "Attempt-Id": "q1", "Time-Left": "4000", **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read().decode(), dict(response.getheaders())
        except OSError as error:
            return 0, str(error), {}
        finally:
            connection.close()

    def ready(self, name):
        return standin.until(lambda: self.ask(name, standin.READY, "GET", standin.READINESS_PATH)[0] == 200)

    def names(self, command, control):
        """The names in a list that one controller returns."""
        return {entry["name"] for entry in json.loads(self.command(command, at=control)[1])}

    def furrows(self):
        return [name for name, process in self.plan["processes"].items() if process["program"] == "furrow"]

    def trellises(self):
        return [name for name, process in self.plan["processes"].items() if process["program"] == "trellis"]


class Commands(Case):
    workers = {"web": 1, "pool": 1}

    def test_all_of_them(self):
        self.start()
        self.assertTrue(standin.until(lambda: self.command("ready")[0] == 0))
        code, text = self.command("charter", "get")
        self.assertEqual((code, json.loads(text)["error"]), (4, "no_charter"))
        path = self.put_first()
        with open(path, encoding="utf-8") as stream:
            sent_text = stream.read()
        self.assertEqual(self.command("charter", "get"), (0, sent_text))  # byte for byte
        for name in self.furrows():
            self.assertTrue(self.ready(name), name)
        # A repeated put succeeds; one with another expected number, or an invalid one, fails.
        self.assertEqual(self.command("charter", "put", path, "--expect", "0")[0], 0)
        other = self.file("other.json", standin.charter(6, SERVICES, {"plain": LANES["plain"]}))
        self.assertEqual(self.command("charter", "put", other, "--expect", "3")[0], 4)
        wrong = self.file("wrong.json", standin.charter(7, {"web": False}, LANES))
        code, text = self.command("charter", "put", wrong, "--expect", "5")
        self.assertEqual(code, 4)
        self.assertIn("faults", json.loads(text))
        self.assertEqual(self.command("charter", "put", self.file("half.json", sent_text[:40]), "--expect", "5")[0], 4)
        self.assertEqual(self.command("charter", "put", os.path.join(self.folder.name, "none.json"))[0], 2)
        self.assertEqual(self.command("charter", "get"), (0, sent_text))
        change = {"revision": 9, "upsert": {"channels": standin.charter(9, {}, {"new": ("web", "safe")})["channels"]}, "remove": {"channels": ["talk"]}}
        code, text = self.command("charter", "patch", self.file("patch.json", change), "--expect", "5")
        self.assertEqual((code, json.loads(text)), (0, {"number": 9}))
        code, text = self.command("charter", "get")
        self.assertEqual([entry["name"] for entry in json.loads(text)["channels"]], ["plain", "new"])
        for name in self.furrows():  # in force at the proxies
            self.assertTrue(standin.until(lambda: self.ask(name, standin.FRONT, "GET", "/new/a")[0] == 200))
            self.assertEqual(self.ask(name, standin.FRONT, "GET", "/talk/a")[0], 404)
        for name, port, path in [(name, standin.READY, "/-/metrics") for name in self.furrows()] + [(name, standin.CONTROL, "/metrics") for name in self.trellises()]:
            violations = self.violations(name, port, path)
            self.assertGreater(len(violations), 0, name)
            self.assertEqual(sum(violations), 0, name)
        self.assertIn('trellis_reads_total{outcome="confirmed"}', self.ask(self.trellises()[0], standin.CONTROL, "GET", "/metrics")[1])
        # Sessions reach the other controllers by gossip, within two rounds:
        # each controller lists all members, not only those with a session at it.
        for control in self.controls:
            self.assertTrue(standin.until(lambda: self.names("members", control) == set(self.furrows())), control)
            self.assertTrue(standin.until(lambda: self.names("trellises", control) == set(self.trellises())), control)
        listed = json.loads(self.command("workers")[1])
        self.assertEqual({entry["id"] for entry in listed["workers"]}, {worker["id"] for worker in self.plan["workers"]})
        self.assertEqual(len(json.loads(self.command("holders")[1])["holders"]), 3)
        self.assertEqual(json.loads(self.command("split")[1]), {})  # none before the warm-up has ended
        self.assertEqual(self.command("duties")[0], 0)
        code, text = self.command("tenants", at=",".join(f"{self.plan['processes'][name]['ip']}:{standin.READY}" for name in self.furrows()))
        self.assertEqual(code, 0)
        self.assertIn("crossings 0", text)
        # A zone is drained and restored.
        self.assertEqual(self.command("evacuated"), (0, "[]"))
        self.assertEqual(self.command("evacuate", "north")[0], 0)
        self.assertEqual(json.loads(self.command("evacuated")[1]), ["north"])
        for name in self.furrows():
            self.assertTrue(self.fleet.logged(name, "evacuated [\"north\"]"))
        ran = self.platform.ran["i-web-north-1"]
        for _ in range(5):
            for name in self.furrows():
                self.assertEqual(self.ask(name, standin.FRONT, "GET", "/plain/a")[0], 200)
        self.assertEqual(self.platform.ran["i-web-north-1"], ran)
        self.assertEqual(self.command("retake", "north")[0], 0)
        self.assertEqual(self.command("evacuated"), (0, "[]"))
        # Commands for the older configuration document fail here: there is no setup.
        code, text = self.command("setup", "get")
        self.assertEqual((code, json.loads(text)["error"]), (4, "no_setup"))
        self.assertEqual(self.command("hall", "drain", "north")[0], 4)
        self.assertEqual(self.command("charter")[0], 2)
        self.assertEqual(self.command("evacuate")[0], 2)

    def test_the_core_is_lost_and_comes_back(self):
        self.start()
        self.put_first()
        for name in self.furrows():
            self.assertTrue(self.ready(name), name)
            self.assertEqual(self.ask(name, standin.FRONT, "GET", "/absent/a")[0], 404, name)
        lost = self.trellises()[1:]
        for name in lost:
            self.fleet.kill(name)
        # Without a majority of controllers no command succeeds; queries are still served.
        other = self.file("other.json", standin.charter(6, SERVICES, {"plain": LANES["plain"]}))
        self.assertEqual(self.command("charter", "put", other, "--expect", "5", at=self.controls[0])[0], 5)
        self.assertEqual(self.command("charter", "get", at=self.controls[0])[0], 5)
        self.assertEqual(self.command("ready", at=self.controls[0])[0], 5)
        self.assertEqual(self.command("evacuate", "north", at=self.controls[0])[0], 5)
        for name in self.furrows():
            self.assertEqual(self.ask(name, standin.FRONT, "GET", "/plain/a")[0], 200)
        # Whether a route exists can't be confirmed any more: 503 with Retry-After instead of 404.
        for name in self.furrows():
            self.assertTrue(standin.until(lambda: self.ask(name, standin.FRONT, "GET", "/absent/a")[0] == 503), name)
        # A proxy that starts now gets no confirmed answer, so it is not ready. It rejects queries with
        # Retry-After until it is sure that the control plane has lost its majority, and not only that the
        # controller it asks is cut off. From then on it serves with the configuration that it received
        # (section 13.15), but is still not ready and gives no 404.
        self.fleet.kill(self.furrows()[0])
        self.fleet.start(self.furrows()[0])
        self.assertTrue(standin.until(lambda: self.ask(self.furrows()[0], standin.READY, "GET", standin.READINESS_PATH)[0] == 503))
        status, _, headers = self.ask(self.furrows()[0], standin.FRONT, "GET", "/plain/a")
        self.assertIn(status, (200, 503))
        self.assertTrue(status == 200 or "Retry-After" in headers, headers)
        self.assertTrue(standin.until(lambda: self.ask(self.furrows()[0], standin.FRONT, "GET", "/plain/a")[0] == 200))
        self.assertEqual(self.ask(self.furrows()[0], standin.READY, "GET", standin.READINESS_PATH)[0], 503)
        status, _, headers = self.ask(self.furrows()[0], standin.FRONT, "GET", "/absent/a")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        for name in lost:
            self.plan["processes"][name]["settings"]["bootstrap"] = False
            self.fleet.start(name)
        self.assertTrue(standin.until(lambda: self.command("ready")[0] == 0))
        # The put with an unknown outcome is repeated unchanged until the outcome is known.
        self.assertTrue(standin.until(lambda: self.command("charter", "put", other, "--expect", "5")[0] == 0))
        with open(other, encoding="utf-8") as stream:
            self.assertEqual(self.command("charter", "get"), (0, stream.read()))
        self.assertTrue(self.ready(self.furrows()[0]))
        for name in self.furrows():
            self.assertTrue(standin.until(lambda: self.ask(name, standin.FRONT, "GET", "/absent/a")[0] == 404), name)


class Settings(Case):
    def heard(self, listener):
        """Whether a process connects to `listener`, whose address only that process was given."""
        listener.settimeout(60)
        try:
            connection, _ = listener.accept()
            connection.close()
            return True
        except socket.timeout:
            return False

    def change(self, name, seed, bounds=None, cloud=None):
        settings = self.plan["processes"][name]["settings"]
        settings["seeds"] = [f"{seed}:{standin.CONTROL}"] + settings["seeds"]
        settings["bounds"].update(bounds or {})
        settings["cloud"]["address"] = cloud or settings["cloud"]["address"]
        self.fleet.write(name)

    def test_a_changed_file_is_in_force_and_a_bad_one_is_not(self):
        self.start()
        self.put_first()
        for name, others in ((self.furrows()[0], self.trellises()), (self.trellises()[0], self.trellises()[1:])):
            self.assertTrue(self.ready(self.furrows()[0]))
            for trigger, ip in (("signal", f"{self.prefix}.151"), ("no signal", f"{self.prefix}.152")):
                listener = socket.create_server((ip, standin.OWN))
                # A proxy without contact connects to its seeds; a controller sends gossip to all of them.
                self.change(name, ip, {"ttl_max_s": 1 if trigger == "signal" else 2})
                if trigger == "signal":
                    self.fleet.signal(name, signal.SIGHUP)
                self.assertTrue(self.fleet.logged(name, "E1006", 1 if trigger == "signal" else 2), trigger)
                if name in self.furrows():
                    self.assertEqual(json.loads(self.ask(name, standin.DIRECTORY, "GET", "/v1/resolve?name=any&region=dublin&zone=north")[1])["ttl_s"], 1 if trigger == "signal" else 2)
                    for other in others:
                        self.fleet.kill(other)
                self.assertTrue(self.heard(listener), trigger)
                listener.close()
                if name in self.furrows():
                    for other in others:
                        self.fleet.start(other)
                    self.assertTrue(standin.until(lambda: self.command("ready")[0] == 0))
            # An invalid file, with and without the signal, is logged, and the settings before it stay in force.
            invalid = json.loads(json.dumps(self.plan["processes"][name]["settings"]))
            invalid["bounds"]["apply_ms"] = 10
            self.fleet.write(name, json.dumps(invalid))
            self.fleet.signal(name, signal.SIGHUP)
            self.assertTrue(self.fleet.logged(name, "E1007"))
            self.fleet.write(name, "node: [")
            self.assertTrue(self.fleet.logged(name, "E1007", 2))
            self.assertEqual(self.fleet.text[name].count("E1006"), 2)
            if name in self.furrows():
                self.assertEqual(json.loads(self.ask(name, standin.DIRECTORY, "GET", "/v1/resolve?name=any&region=dublin&zone=north")[1])["ttl_s"], 2)
            self.fleet.write(name)
            self.fleet.signal(name, signal.SIGHUP)
            self.assertIsNone(self.fleet.running[name].poll())

    def test_a_platform_at_another_address_is_asked_there(self):
        self.start()
        self.put_first()
        self.assertTrue(self.ready(self.furrows()[0]))
        new_platform = standin.Platform(f"{self.prefix}.199:8169", [])
        self.addCleanup(new_platform.stop)
        new_platform.workers = self.plan["workers"]
        for name in self.plan["processes"]:
            self.plan["processes"][name]["settings"]["cloud"]["address"] = f"{self.prefix}.199:8169"
            self.fleet.write(name)
            self.fleet.signal(name, signal.SIGHUP)
            self.assertTrue(self.fleet.logged(name, "E1006"))
        self.assertTrue(standin.until(lambda: new_platform.asked > 0))
        for name in self.trellises():
            self.fleet.kill(name)
        requests_before = new_platform.asked
        self.assertTrue(standin.until(lambda: new_platform.asked > requests_before))  # without controllers the proxies read the list themselves

    def test_at_the_start_a_bad_file_ends_the_process(self):
        for name in (self.furrows()[0], self.trellises()[0]):
            self.plan["processes"][name]["settings"]["bounds"]["apply_ms"] = 10
            self.fleet.start(name)
            self.assertEqual(self.fleet.running.pop(name).wait(60), 2)
            self.assertTrue(self.fleet.logged(name, "apply_ms"))


if __name__ == "__main__":
    PROGRAMS = os.path.abspath(sys.argv.pop(1))
    unittest.main()
