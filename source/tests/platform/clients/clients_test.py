#!/usr/bin/env python3
"""Crowds of clients that don't behave, against each listener of the programs as the users' platform runs them.

  clients_test.py FOLDER-OF-PROGRAMS [CASE.TEST ...]

Each test checks that the process lives, that its memory (with the bytes that have arrived and were not read) and its
sockets stay within the limits that its settings file states, and that an ordinary request is answered while the crowd
holds what it can, and afterwards. Memory and descriptors are lowered in the settings, so that a small crowd shows a
fault.
"""
import http.client
import json
import os
import signal
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import crowd  # noqa: E402
import fleet_test  # noqa: E402
import misbehaviour as kinds  # noqa: E402
import standin  # noqa: E402

PROGRAMS = ""
MEMORY_MB = 64
DESCRIPTORS = 400
DESCRIPTORS_FOR_FILES = 200  # of those, as the platform's page says; sockets have the rest
BODY_BYTES = 1 << 20
HEADER_BYTES = 16384
CONFIG_BYTES = 2 << 20
LARGE_ANSWER_BYTES = 1 << 20
PROMPTS, PARTS_OF_A_PROMPT = 1000, 1600
FURROW, TRELLIS, PEER = "furrow-m01", "trellis-m01", "trellis-m03"
PATIENCE_S = 60
ZONES = {"north": "dublin", "south": "dublin", "harbour": "cork"}


def charter(number=5, header_wait_ms=20000, idle_ms=20000):
    lanes = {"plain": ("web", "safe"), "slow": ("web", "safe"), "talk": ("pool", "stream")}
    document = standin.charter(number, {"web": False, "pool": True}, lanes)
    document["limits"] = {"max_header_bytes": HEADER_BYTES, "max_body_bytes": BODY_BYTES, "header_wait_ms": header_wait_ms, "idle_ms": idle_ms}
    for channel in document["channels"]:
        channel["deadline_ms"] = 8000
    return document


class Platform(standin.Platform):
    """Workers whose answers are large for some paths, slow for others, and else tell how long the request's body was."""

    def __init__(self, *words):
        self.released = threading.Event()
        super().__init__(*words)

    def work(self, identity, method, path, headers, body):
        status, answer_headers, answer = super().work(identity, method, path, headers, body)
        if path.startswith("/slow/"):
            self.released.wait(6)
        elif path == "/plain/large":
            answer = b"x" * LARGE_ANSWER_BYTES
        elif path == "/plain/length":
            answer = str(len(body)).encode()
        elif path.startswith("/talk/"):
            answer_headers, answer = {**answer_headers, "Content-Type": "text/event-stream"}, b"id: 1\ndata: piece\n\n"
        return status, answer_headers, answer


class Case(unittest.TestCase):
    """One proxy and one controller, with the limits of this file."""

    limits = {"memory_mb": MEMORY_MB, "fd_limit": DESCRIPTORS}
    charter = charter()
    workers = {"web": 1, "pool": 1}  # of each service in each zone
    platform_class = Platform

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.folder = folder.name
        prefix, held = fleet_test.claim()
        self.addCleanup(held.close)
        self.plan = standin.plan(folder.name, prefix, ZONES, 1, self.workers)
        for idle in list(self.plan["processes"]):
            if idle.startswith("furrow") and idle != FURROW:
                del self.plan["processes"][idle]
        for worker in self.plan["workers"]:
            worker["capacity"] = 100
        for process in self.plan["processes"].values():
            process["settings"]["limits"].update(self.limits)
        self.ip = self.plan["processes"][FURROW]["ip"]
        self.platform = self.platform_class(self.plan["cloud"], self.plan["workers"])
        self.fleet = standin.Fleet(folder.name, PROGRAMS, self.plan)
        self.addCleanup(folder.cleanup)
        self.addCleanup(self.platform.stop)
        self.addCleanup(self.fleet.stop)
        self.addCleanup(self.platform.released.set)
        for name in self.plan["processes"]:
            self.fleet.start(name)
            self.assertTrue(self.fleet.logged(name, "E1001"), name)
        self.assertTrue(standin.until(lambda: self.put(self.charter, 0) == 200))
        self.assertTrue(standin.until(lambda: self.ask(standin.READY, "GET", standin.READINESS_PATH)[0] == 200))

    def put(self, document, expected):
        return self.ask(standin.CONTROL, "PUT", "/v1/config", json.dumps(document), {"If-Match": str(expected)})[0]

    def ask(self, port, method, path, body=None, headers=None):
        """One request on a new connection; returns its status (0: none) and body."""
        connection = http.client.HTTPConnection(self.ip, port, timeout=10)
        try:
            connection.request(method, path, body=body, headers={"Host": "any.example", "Attempt-Id": "ordinary", "Time-Left": "8000", **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def ordinary(self, port):
        """An ordinary request at a listener is answered, at the latest when it has been repeated for a while."""
        asks = {standin.FRONT: ("POST", "/plain/ordinary", "body"), standin.READY: ("GET", standin.READINESS_PATH, None),
                standin.DIRECTORY: ("GET", "/v1/resolve?name=any.example&region=dublin&zone=north", None), standin.CONTROL: ("GET", "/v1/config", None)}
        return standin.until(lambda: self.ask(port, *asks[port])[0] == 200, PATIENCE_S)

    def members(self, at_least):
        """The controller hears from the proxy on its node-to-node port, by connections that both open anew."""
        return standin.until(lambda: self.fleet.text[TRELLIS].count("E4001") >= at_least, PATIENCE_S)

    def watch(self, name):
        ports = {standin.FRONT, standin.READY, standin.DIRECTORY} if name == FURROW else {standin.CONTROL, standin.OWN}
        watch = crowd.Watch(self.fleet.running[name].pid, self.plan["processes"][name]["ip"], ports)
        self.addCleanup(watch.close)
        return watch

    def check(self, name, watch):
        """The process lives, and has stayed within its limits."""
        watch.close()
        self.assertIsNone(self.fleet.running[name].poll(), f"{name} has ended: {self.fleet.text[name][-2000:]}")
        self.assertNotIn("E1020", self.fleet.text[name])
        self.assertLessEqual(watch.most_sockets, self.limits["fd_limit"] - DESCRIPTORS_FOR_FILES, "sockets")
        self.assertLessEqual(watch.most_descriptors, self.limits["fd_limit"], "descriptors")
        self.assertLessEqual(watch.most_bytes >> 10, self.limits["memory_mb"] << 10, f"KiB; {watch.most_unread >> 10} KiB of it arrived and not read")

    def attack(self, name, port, clients, ports=None):
        """A crowd at one listener; an ordinary request is answered at `ports` while it holds on, and afterwards."""
        watch = self.watch(name)
        ports = ports or [port]
        with crowd.Crowd([crowd.Client((self.ip, port), *client) for client in clients]) as callers:
            callers.settle()
            for asked in ports:
                self.assertTrue(self.ordinary(asked), f"port {asked}, while the crowd holds on")
        for asked in ports:
            self.assertTrue(self.ordinary(asked), f"port {asked}, afterwards")
        self.check(name, watch)


class Front(Case):
    """The proxy's listener for callers."""

    def crowd(self, count, parts, *more):
        self.attack(FURROW, standin.FRONT, [(parts, *more)] * count)

    def test_trailers_without_end(self):
        self.crowd(24, kinds.endless_trailers())

    def test_chunk_extensions_without_end(self):
        self.crowd(24, kinds.endless_extension())

    def test_last_chunk_extensions_without_end(self):
        self.crowd(24, kinds.endless_extension(size="0"))

    def test_large_chunks_short_of_the_end(self):
        self.crowd(150, kinds.large_chunks_short_of_end(BODY_BYTES))

    def test_small_chunks_short_of_the_end(self):
        self.crowd(150, kinds.small_chunks_short_of_end(BODY_BYTES))

    def test_lengths_short_of_the_end(self):
        self.crowd(150, kinds.length_short_of_end(BODY_BYTES))

    def test_bodies_far_over_the_limit_announced(self):
        self.crowd(100, kinds.far_over_announced())

    def test_bodies_far_over_the_limit_just_sent(self):
        self.crowd(100, kinds.far_over_sent())

    def test_heads_without_end(self):
        self.crowd(100, kinds.endless_head())

    def test_heads_short_of_the_end(self):
        self.crowd(300, kinds.unfinished_head())

    def test_silent_connections(self):
        self.crowd(300, kinds.silent())

    def test_silent_connections_that_come_again(self):
        self.crowd(300, kinds.silent(), True, 20)

    def test_answers_not_read(self):
        self.crowd(150, kinds.unread_answer())

    def test_requests_sent_ahead(self):
        self.crowd(150, kinds.sent_ahead())

    def test_prompt_parts_without_tokens(self):
        watch = self.watch(FURROW)
        for number in range(PROMPTS):
            parts = ",".join(f"{number * PARTS_OF_A_PROMPT + part:x}:0" for part in range(PARTS_OF_A_PROMPT))
            self.assertTrue(standin.until(lambda: self.ask(standin.FRONT, "POST", "/talk/a", "body", {"Prompt-Prefix": parts})[0] == 200))
        self.assertTrue(self.ordinary(standin.FRONT))
        self.check(FURROW, watch)


class Hanging(Case):
    """Callers that never read: the proxy gives them up."""

    charter = charter(idle_ms=3000)

    def test_refusals_not_read(self):
        watch = self.watch(FURROW)
        with crowd.Crowd([crowd.Client((self.ip, standin.FRONT), kinds.unread_refusals()) for _ in range(20)]) as callers:
            callers.settle()
            self.assertTrue(self.ordinary(standin.FRONT))
            before = len(watch.descriptors()[0])
            self.assertGreaterEqual(before, 20)
            self.assertTrue(standin.until(lambda: len(watch.descriptors()[0]) <= before - 20, PATIENCE_S), "the connections stay open")
        self.check(FURROW, watch)


class Status(Case):
    """The proxy's listeners for readiness and for callers that ask where to go; the front is served meanwhile."""

    def crowd(self, port, count, parts, *more):
        self.attack(FURROW, port, [(parts, *more)] * count, [standin.FRONT, standin.READY, standin.DIRECTORY])

    def test_readiness_trailers_without_end(self):
        self.crowd(standin.READY, 24, kinds.endless_trailers(standin.READINESS_PATH, "GET", body=b""))

    def test_readiness_silent_connections(self):
        self.crowd(standin.READY, 300, kinds.silent())

    def test_directory_trailers_without_end(self):
        self.crowd(standin.DIRECTORY, 24, kinds.endless_trailers("/v1/resolve", "GET", body=b""))

    def test_directory_heads_short_of_the_end(self):
        self.crowd(standin.DIRECTORY, 300, kinds.unfinished_head("/v1/resolve"))

    def test_directory_answers_not_read(self):
        self.crowd(standin.DIRECTORY, 100, kinds.sent_ahead("/v1/resolve", 4))


class Control(Case):
    """The controller's listener for operators."""

    def crowd(self, count, parts, *more):
        self.attack(TRELLIS, standin.CONTROL, [(parts, *more)] * count)

    def test_trailers_without_end(self):
        self.crowd(24, kinds.endless_trailers("/v1/config", "PUT"))

    def test_chunk_extensions_without_end(self):
        self.crowd(24, kinds.endless_extension("/v1/config", "PUT"))

    def test_large_chunks_short_of_the_end(self):
        self.crowd(100, kinds.large_chunks_short_of_end(CONFIG_BYTES, "/v1/config", "PUT"))

    def test_lengths_short_of_the_end(self):
        self.crowd(100, kinds.length_short_of_end(CONFIG_BYTES, "/v1/config", "PUT"))

    def test_bodies_far_over_the_limit_announced(self):
        self.crowd(100, kinds.far_over_announced("/v1/config", "PUT"))

    def test_silent_connections(self):
        self.crowd(300, kinds.silent())

    def test_answers_not_read(self):
        self.crowd(40, kinds.sent_ahead("/v1/config", 4))


class Frozen(Case):
    """Callers that make a controller ask its peers, one of which stands still."""

    def test_reads_sent_ahead(self):
        watch = self.watch(TRELLIS)
        self.fleet.signal(PEER, signal.SIGSTOP)
        with crowd.Crowd([crowd.Client((self.ip, standin.CONTROL), kinds.sent_ahead("/v1/config", 4), False, 3) for _ in range(100)]) as callers:
            callers.settle()
            self.assertTrue(self.ordinary(standin.CONTROL))
        self.fleet.signal(PEER, signal.SIGCONT)
        self.assertTrue(self.ordinary(standin.CONTROL))
        self.check(TRELLIS, watch)


class Nodes(Case):
    """The controller's listener for other nodes."""

    def crowd(self, count, parts, *more):
        watch = self.watch(TRELLIS)
        with crowd.Crowd([crowd.Client((self.ip, standin.OWN), parts, *more) for _ in range(count)]) as callers:
            callers.settle()
            self.assertTrue(self.ordinary(standin.CONTROL))
            begun = self.fleet.text[TRELLIS].count("E4001")
            self.fleet.kill(FURROW)
            self.fleet.start(FURROW)
            self.assertTrue(self.members(begun + 1), "the proxy's session, while the crowd holds on")
            self.assertTrue(self.ordinary(standin.FRONT))
        self.assertTrue(self.ordinary(standin.CONTROL))
        self.check(TRELLIS, watch)

    def test_frames_short_of_the_end(self):
        self.crowd(40, kinds.unfinished_frame())

    def test_frames_mostly_sent(self):
        self.crowd(40, kinds.unfinished_frame(sent=4 << 20))

    def test_silent_connections(self):
        self.crowd(300, kinds.silent())


class Calm(Case):
    """Single requests inside the limits, as large as they allow, are served."""

    def exchange(self, parts):
        """Sends the parts on one connection; returns the status line and the body of the answer."""
        with crowd.Crowd([crowd.Client((self.ip, standin.FRONT), parts, True)]) as callers:
            client = callers.clients[0]
            standin.until(lambda: client.socket is None or b"\r\n\r\n" in client.received, PATIENCE_S)
            callers.settle(5)
            answer_head, _, body = client.received.partition(b"\r\n\r\n")
        return answer_head.split(b"\r\n")[0], body

    def served(self, parts, length):
        self.assertEqual(self.exchange(parts), (b"HTTP/1.1 200 OK", str(length).encode()))

    def test_the_largest_requests(self):
        path = "/plain/length"
        piece = 64 << 10
        self.served([kinds.head(path, fields=[f"Content-Length: {BODY_BYTES}"]) + b"\r\n", b"x" * BODY_BYTES], BODY_BYTES)
        whole = f"{piece:x}\r\n".encode() + b"x" * piece + b"\r\n"
        self.served([kinds.chunked(path), *([whole] * (BODY_BYTES // piece)), b"0\r\n\r\n"], BODY_BYTES)
        self.served([kinds.chunked(path), f"{BODY_BYTES:x}\r\n".encode(), b"x" * BODY_BYTES, b"\r\n0\r\n\r\n"], BODY_BYTES)
        self.served([kinds.chunked(path), b"1\r\nx\r\n" * BODY_BYTES, b"0\r\n\r\n"], BODY_BYTES)
        self.served([kinds.chunked(path), b"1;name=value\r\nx\r\n" * 1000, b"0;name=value\r\nTrailer-Field: value\r\n\r\n"], 1000)
        large_field = "Large-Field: " + "v" * (HEADER_BYTES - 1024)
        self.served([kinds.head(path, fields=[large_field, "Content-Length: 4"]) + b"\r\n", b"body"], 4)
        trailer = ("Trailer-Field: " + "v" * (HEADER_BYTES - 1024) + "\r\n\r\n").encode()
        self.served([kinds.chunked(path), b"4\r\nbody\r\n0\r\n", trailer], 4)

    def test_the_largest_answer(self):
        status, body = self.ask(standin.FRONT, "GET", "/plain/large")
        self.assertEqual((status, len(body)), (200, LARGE_ANSWER_BYTES))

    def test_the_largest_configuration(self):
        document = charter(6)
        lanes = [{**document["channels"][0], "name": f"lane-{number}", "path_prefix": f"/lane-{number}/"} for number in range(5000)]
        document["channels"] += lanes
        text = json.dumps(document)
        self.assertLess(len(text), CONFIG_BYTES)
        document["channels"].append({**document["channels"][0], "name": "padded", "path_prefix": "/" + "p" * (CONFIG_BYTES - len(text) - 400) + "/"})
        text = json.dumps(document)
        self.assertLessEqual(len(text), CONFIG_BYTES)
        self.assertEqual(standin.until(lambda: self.ask(standin.CONTROL, "PUT", "/v1/config", text, {"If-Match": "5"})[0], PATIENCE_S), 200)
        self.assertEqual(self.ask(standin.CONTROL, "GET", "/v1/config"), (200, text.encode()))
        self.assertTrue(standin.until(lambda: self.ask(standin.FRONT, "GET", "/lane-4999/a")[0] == 200, PATIENCE_S))


if __name__ == "__main__":
    PROGRAMS = os.path.abspath(sys.argv.pop(1))
    fleet_test.PROGRAMS = PROGRAMS
    unittest.main()
