#!/usr/bin/env python3
"""The programs as the users' platform runs them, and the operators' commands
against them: fleet_test.py FOLDER-OF-PROGRAMS."""
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
    """The beginning of IP numbers that no other run holds, and the socket that holds it."""
    for number in range(os.getpid(), os.getpid() + 80 * 256):
        prefix = f"127.{170 + number // 256 % 80}.{number % 256}"
        try:
            return prefix, socket.create_server((f"{prefix}.250", standin.OWN))
        except OSError:
            continue
    raise RuntimeError("all addresses are taken")


class Case(unittest.TestCase):
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
        """No process saw anything that must never be."""
        for name, text in self.fleet.text.items():
            self.assertNotIn("E1020", text, name)

    def violations(self, name, port, path):
        """The counts of violated invariants on a process's metrics page."""
        lines = self.ask(name, port, "GET", path)[1].splitlines()
        return [int(line.split()[-1]) for line in lines if line.startswith("finchlink_invariant_violations_total{")]

    def start(self):
        for name in self.plan["processes"]:
            self.fleet.start(name)
        for name in self.plan["processes"]:
            self.assertTrue(self.fleet.logged(name, "E1001"), name)

    def command(self, *words, at=None):
        """Runs a command of trellis; gives its exit code and what it printed."""
        done = subprocess.run([os.path.join(PROGRAMS, "trellis"), *words, "--at", at or ",".join(self.controls)], capture_output=True, text=True, timeout=120)
        return done.returncode, done.stdout.strip()

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
            answer = connection.getresponse()
            return answer.status, answer.read().decode(), dict(answer.getheaders())
        except OSError as error:
            return 0, str(error), {}
        finally:
            connection.close()

    def ready(self, name):
        return standin.until(lambda: self.ask(name, standin.READY, "GET", standin.READINESS_PATH)[0] == 200)

    def names(self, command, control):
        """The names in a list that one trellis prints."""
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
            sent = stream.read()
        self.assertEqual(self.command("charter", "get"), (0, sent))  # number for number
        for name in self.furrows():
            self.assertTrue(self.ready(name), name)
        # The same again is a yes; what builds on another, or is invalid, a no.
        self.assertEqual(self.command("charter", "put", path, "--expect", "0")[0], 0)
        other = self.file("other.json", standin.charter(6, SERVICES, {"plain": LANES["plain"]}))
        self.assertEqual(self.command("charter", "put", other, "--expect", "3")[0], 4)
        wrong = self.file("wrong.json", standin.charter(7, {"web": False}, LANES))
        code, text = self.command("charter", "put", wrong, "--expect", "5")
        self.assertEqual(code, 4)
        self.assertIn("faults", json.loads(text))
        self.assertEqual(self.command("charter", "put", self.file("half.json", sent[:40]), "--expect", "5")[0], 4)
        self.assertEqual(self.command("charter", "put", os.path.join(self.folder.name, "none.json"))[0], 2)
        self.assertEqual(self.command("charter", "get"), (0, sent))
        added = {"revision": 9, "upsert": {"channels": standin.charter(9, {}, {"new": ("web", "safe")})["channels"]}, "remove": {"channels": ["talk"]}}
        code, text = self.command("charter", "patch", self.file("patch.json", added), "--expect", "5")
        self.assertEqual((code, json.loads(text)), (0, {"number": 9}))
        code, text = self.command("charter", "get")
        self.assertEqual([entry["name"] for entry in json.loads(text)["channels"]], ["plain", "new"])
        for name in self.furrows():  # in force where queries come
            self.assertTrue(standin.until(lambda: self.ask(name, standin.FRONT, "GET", "/new/a")[0] == 200))
            self.assertEqual(self.ask(name, standin.FRONT, "GET", "/talk/a")[0], 404)
        for name, port, path in [(name, standin.READY, "/-/metrics") for name in self.furrows()] + [(name, standin.CONTROL, "/metrics") for name in self.trellises()]:
            found = self.violations(name, port, path)
            self.assertGreater(len(found), 0, name)
            self.assertEqual(sum(found), 0, name)
        self.assertIn('trellis_reads_total{outcome="confirmed"}', self.ask(self.trellises()[0], standin.CONTROL, "GET", "/metrics")[1])
        # Who is there.
        # Sessions reach the other trellises by gossip, within two rounds of it:
        # every one of them comes to know all, not only the one that was asked.
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
        # A hall is emptied and taken back.
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
        # Commands of the product's other data path find nothing here, and say so.
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
        # Nothing can be changed, and no word promises something; serving goes on.
        other = self.file("other.json", standin.charter(6, SERVICES, {"plain": LANES["plain"]}))
        self.assertEqual(self.command("charter", "put", other, "--expect", "5", at=self.controls[0])[0], 5)
        self.assertEqual(self.command("charter", "get", at=self.controls[0])[0], 5)
        self.assertEqual(self.command("ready", at=self.controls[0])[0], 5)
        self.assertEqual(self.command("evacuate", "north", at=self.controls[0])[0], 5)
        for name in self.furrows():
            self.assertEqual(self.ask(name, standin.FRONT, "GET", "/plain/a")[0], 200)
        # Whether a route exists can't be known any more: no refusal for good, a time to come back at.
        for name in self.furrows():
            self.assertTrue(standin.until(lambda: self.ask(name, standin.FRONT, "GET", "/absent/a")[0] == 503), name)
        # One that starts now is vouched for by nobody: not ready. A query is refused with a
        # time to come back at until it is sure that the core is lost and not only the trellis
        # that it asks cut off; from then on it serves by that (design 13.15), is not ready
        # still and refuses nothing for good.
        self.fleet.kill(self.furrows()[0])
        self.fleet.start(self.furrows()[0])
        self.assertTrue(standin.until(lambda: self.ask(self.furrows()[0], standin.READY, "GET", standin.READINESS_PATH)[0] == 503))
        status, _, fields = self.ask(self.furrows()[0], standin.FRONT, "GET", "/plain/a")
        self.assertIn(status, (200, 503))
        self.assertTrue(status == 200 or "Retry-After" in fields, fields)
        self.assertTrue(standin.until(lambda: self.ask(self.furrows()[0], standin.FRONT, "GET", "/plain/a")[0] == 200))
        self.assertEqual(self.ask(self.furrows()[0], standin.READY, "GET", standin.READINESS_PATH)[0], 503)
        status, _, fields = self.ask(self.furrows()[0], standin.FRONT, "GET", "/absent/a")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", fields)
        for name in lost:
            self.plan["processes"][name]["settings"]["bootstrap"] = False
            self.fleet.start(name)
        self.assertTrue(standin.until(lambda: self.command("ready")[0] == 0))
        # What was told unknown is sent again unchanged until it is known.
        self.assertTrue(standin.until(lambda: self.command("charter", "put", other, "--expect", "5")[0] == 0))
        with open(other, encoding="utf-8") as stream:
            self.assertEqual(self.command("charter", "get"), (0, stream.read()))
        self.assertTrue(self.ready(self.furrows()[0]))
        for name in self.furrows():
            self.assertTrue(standin.until(lambda: self.ask(name, standin.FRONT, "GET", "/absent/a")[0] == 404), name)


class Settings(Case):
    def heard(self, listener):
        """Whether a process connects to an address that only it knows."""
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
            for how, ip in (("signal", f"{self.prefix}.151"), ("no signal", f"{self.prefix}.152")):
                listener = socket.create_server((ip, standin.OWN))
                # Out of touch a furrow turns to its seeds; a trellis tells all of them.
                self.change(name, ip, {"ttl_max_s": 1 if how == "signal" else 2})
                if how == "signal":
                    self.fleet.signal(name, signal.SIGHUP)
                self.assertTrue(self.fleet.logged(name, "E1006", 1 if how == "signal" else 2), how)
                if name in self.furrows():
                    self.assertEqual(json.loads(self.ask(name, standin.DIRECTORY, "GET", "/v1/resolve?name=any&region=dublin&zone=north")[1])["ttl_s"], 1 if how == "signal" else 2)
                    for other in others:
                        self.fleet.kill(other)
                self.assertTrue(self.heard(listener), how)
                listener.close()
                if name in self.furrows():
                    for other in others:
                        self.fleet.start(other)
                    self.assertTrue(standin.until(lambda: self.command("ready")[0] == 0))
            # Bad ones, by signal and without: told, and the old is in force.
            bad = json.loads(json.dumps(self.plan["processes"][name]["settings"]))
            bad["bounds"]["apply_ms"] = 10
            self.fleet.write(name, json.dumps(bad))
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
        moved = standin.Platform(f"{self.prefix}.199:8169", [])
        self.addCleanup(moved.stop)
        moved.workers = self.plan["workers"]
        for name in self.plan["processes"]:
            self.plan["processes"][name]["settings"]["cloud"]["address"] = f"{self.prefix}.199:8169"
            self.fleet.write(name)
            self.fleet.signal(name, signal.SIGHUP)
            self.assertTrue(self.fleet.logged(name, "E1006"))
        self.assertTrue(standin.until(lambda: moved.asked > 0))
        for name in self.trellises():
            self.fleet.kill(name)
        asked = moved.asked
        self.assertTrue(standin.until(lambda: moved.asked > asked))  # furrows look for themselves now

    def test_at_the_start_a_bad_file_ends_the_process(self):
        for name in (self.furrows()[0], self.trellises()[0]):
            self.plan["processes"][name]["settings"]["bounds"]["apply_ms"] = 10
            self.fleet.start(name)
            self.assertEqual(self.fleet.running.pop(name).wait(60), 2)
            self.assertTrue(self.fleet.logged(name, "apply_ms"))


if __name__ == "__main__":
    PROGRAMS = os.path.abspath(sys.argv.pop(1))
    unittest.main()
