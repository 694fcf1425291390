#!/usr/bin/env python3
"""Back ends that send bytes without end, against the programs as the users' platform runs them.

  backends_test.py FOLDER-OF-PROGRAMS [CASE.TEST ...]

All workers of one service are faulty: each answers a request with bytes that never end, as fast as they are taken, until
the caller closes. Each test checks that the process that calls them lives, that its memory (with the bytes that have
arrived and were not read) and its sockets stay within the limits that its settings file states, and that a request to
another service is answered meanwhile and afterwards.
"""
import os
import socket
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "clients"))
import clients_test  # noqa: E402
import crowd  # noqa: E402
import faults  # noqa: E402
import fleet_test  # noqa: E402
import misbehaviour as kinds  # noqa: E402
import standin  # noqa: E402

CALLERS = 150
MANY_CALLERS = 400  # of answers that stop short of a limit: each holds what it sent for as long as its caller waits
DESCRIPTORS = 1200
MOST_SENT = 256 << 20  # bytes that one faulty answer may come to, so that a test ends by itself
BACKLOG = 256
POLL_S = 0.1
WORKERS_A_PAGE = 2000
FURROW, TRELLIS = clients_test.FURROW, clients_test.TRELLIS
PATIENCE_S = clients_test.PATIENCE_S


class RawServer:
    """Answers one request on each connection with the pieces that handle(path, headers) gives, and then closes it."""

    def __init__(self, address, handle):
        self.handle, self.ended, self.answered = handle, False, 0
        ip, port = address.rsplit(":", 1)
        self.listener = socket.create_server((ip, int(port)), backlog=BACKLOG)
        self.listener.settimeout(POLL_S)
        self.thread = threading.Thread(target=self.accept, daemon=True)
        self.thread.start()

    def accept(self):
        while not self.ended:
            try:
                connection, _ = self.listener.accept()
            except TimeoutError:
                continue
            connection.settimeout(None)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                received = b""
                while b"\r\n\r\n" not in received:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    received += piece
                lines = received.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
                headers = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
                self.answered += 1
                self.send(connection, self.handle(lines[0].split()[1], headers))
        except OSError:
            pass  # the caller has closed

    def send(self, connection, pieces):
        sent = 0
        for piece in pieces:
            if piece is None:
                connection.recv(1)  # until the caller closes
                return
            connection.sendall(piece)
            sent += len(piece)
            if self.ended or sent > MOST_SENT:
                return

    def shutdown(self):
        self.ended = True
        self.thread.join()

    def server_close(self):
        self.listener.close()


class Platform(clients_test.Platform):
    """The service "faulty" has workers that answer as `faults` say, in turn; the list is answered so once `list_fault` is set."""

    def __init__(self, address, workers):
        self.faults, self.list_fault = [faults.head_of_noise], None
        super().__init__(address, [worker for worker in workers if worker["plant"] != "faulty"])
        self.workers = workers
        for server in self.servers[:1]:
            server.shutdown()
            server.server_close()
        self.list_server = RawServer(address, self.answer_list)
        addresses = [worker["address"] for worker in workers if worker["plant"] == "faulty"]
        self.faulty = [RawServer(own, lambda path, headers, index=index: self.answer(index, headers)) for index, own in enumerate(addresses)]
        self.servers = [self.list_server, *self.faulty, *self.servers[1:]]

    def answer(self, index, headers):
        return self.faults[index % len(self.faults)](headers.get("attempt-id", ""))

    def answer_list(self, path, _headers):
        if self.list_fault is not None:
            return self.list_fault(path)
        _, fields, body = self.list("GET", path, {}, b"")
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}", "Connection: close"]
        return [("\r\n".join(lines) + "\r\n\r\n").encode() + body]


def charter():
    document = standin.charter(5, {"web": False, "faulty": False},
                               {"plain": ("web", "safe"), "repeat": ("faulty", "safe"), "once": ("faulty", "unsafe"), "talk": ("faulty", "stream"), "resume": ("faulty", "stream")})
    for channel in document["channels"]:
        channel["deadline_ms"] = 8000
        channel["resumable"] = channel["name"] == "resume"
    return document


class Case(clients_test.Case):
    limits = {"memory_mb": clients_test.MEMORY_MB, "fd_limit": DESCRIPTORS}
    charter = charter()
    workers = {"web": 1, "faulty": 2}
    platform_class = Platform


class Calls(Case):
    """The proxy calls workers for its callers."""

    def request(self, route):
        return [kinds.head(f"/{route}/crowd", fields=["Content-Length: 0"]) + b"\r\n"]

    def check_fault(self, fault, routes, count=CALLERS):
        self.check_faults([fault], routes, count)

    def check_faults(self, kinds_of_workers, routes, count):
        """Callers ask for answers of faulty workers; all of them are answered or closed in the end."""
        self.platform.faults = kinds_of_workers
        before = sum(server.answered for server in self.platform.faulty)
        watch = self.watch(FURROW)
        clients = [crowd.Client((self.ip, standin.FRONT), self.request(routes[number % len(routes)]), True) for number in range(count)]
        with crowd.Crowd(clients) as callers:
            self.assertTrue(standin.until(lambda: sum(server.answered for server in self.platform.faulty) > before, PATIENCE_S), "no faulty worker was asked")
            self.assertTrue(self.ordinary(standin.FRONT), "while the workers send")
            standin.until(lambda: all(client.socket is None or client.received for client in callers.clients), PATIENCE_S)
            self.assertTrue(self.ordinary(standin.FRONT), "while the workers send")
        self.assertTrue(self.ordinary(standin.FRONT), "afterwards")
        self.check(FURROW, watch)


class Front(Calls):
    """All workers are faulty in one way; add_tests() adds a test for each."""


class Together(Calls):
    """Workers that are faulty in two ways at once."""

    def test_between_chunks_and_bodies_short_of_a_limit(self):
        self.check_faults([faults.short_extension, faults.short_body], ["repeat", "once"], MANY_CALLERS)

    def test_events_short_of_a_limit_and_without_end(self):
        self.check_faults([faults.short_event, faults.event_of_noise], ["talk", "resume"], MANY_CALLERS)

    def test_heads_short_of_a_limit_and_bodies_without_end(self):
        self.check_faults([faults.short_head, faults.chunks], ["repeat", "once"], MANY_CALLERS)


class Lists(Case):
    """A controller, and a proxy that hears from no controller, read the platform's list."""

    def check_fault(self, fault):
        self.platform.list_fault = fault
        before = self.platform.list_server.answered
        for name in (TRELLIS, FURROW):
            with self.subTest(name):
                watch = self.watch(name)
                if name == FURROW:
                    for controller in [entry for entry in self.plan["processes"] if entry.startswith("trellis")]:
                        self.fleet.kill(controller)
                    before = self.platform.list_server.answered
                self.assertTrue(standin.until(lambda: self.platform.list_server.answered > before + 3, PATIENCE_S), "the list was not asked for")
                self.assertTrue(self.ordinary(standin.CONTROL if name == TRELLIS else standin.FRONT))
                self.check(name, watch)


def add_tests(case, names, check):
    """A test for each kind of fault."""
    for fault in names:
        def test(self, fault=fault):
            check(self, fault)
        setattr(case, f"test_{fault.__name__}", test)


def endless_pages(_path):
    """A page that names a next one, always."""
    entries = ",".join('{"id":"i-%d","plant":"none","address":"127.0.0.1:1","zone":"north","capacity":8,"state":"ready","warmup_left_ms":0}' % number for number in range(WORKERS_A_PAGE))
    body = ('{"instances":[' + entries + '],"next_token":"p-1"}').encode()
    return [f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body]


add_tests(Front, faults.HEADS, lambda self, fault: self.check_fault(fault, ["repeat", "once", "talk", "resume"]))
add_tests(Front, faults.BODIES, lambda self, fault: self.check_fault(fault, ["repeat", "once"]))
add_tests(Front, faults.STREAMS, lambda self, fault: self.check_fault(fault, ["talk", "resume"]))
add_tests(Front, faults.SHORT_ANSWERS, lambda self, fault: self.check_fault(fault, ["repeat", "once"], MANY_CALLERS))
add_tests(Front, faults.SHORT_STREAMS[1:], lambda self, fault: self.check_fault(fault, ["talk", "resume"], MANY_CALLERS))
add_tests(Lists, [*faults.HEADS, *faults.BODIES, endless_pages], Lists.check_fault)


if __name__ == "__main__":
    clients_test.PROGRAMS = os.path.abspath(sys.argv.pop(1))
    fleet_test.PROGRAMS = clients_test.PROGRAMS
    unittest.main()
