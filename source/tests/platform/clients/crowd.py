"""Crowds of clients that don't behave, and what a process takes while they do.

A client is a connection that sends the bytes it was given as fast as they are taken, and then stays open. A crowd
is many of them at once, on one thread.
"""
import errno
import os
import selectors
import socket
import threading
import time

PIECE_BYTES = 64 << 10
CLIENT_RECEIVE_BYTES = 4096  # a client that doesn't read takes no more than this off the other side's hands
POLL_S = 0.05
QUIET_S = 0.5  # nothing was sent or received for this long: the crowd has sent all that is taken
SAMPLE_S = 0.02


class Client:
    """One connection: `parts` are the pieces it sends in turn; `reads`: it reads the answers; `reopens`: how often it connects anew when it is closed."""

    def __init__(self, address, parts, reads=False, reopens=0):
        self.address, self.parts, self.reads, self.reopens = address, parts, reads, reopens
        self.socket, self.pending, self.waiting = None, memoryview(b""), iter(())
        self.received = b""

    def open(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BYTES)
        self.socket.setblocking(False)
        self.waiting, self.pending = iter(self.parts), memoryview(b"")
        self.socket.connect_ex(self.address)

    def send(self):
        """Sends what is taken; False: all is sent. Raises OSError when the other side has closed."""
        while True:
            if not self.pending:
                self.pending = memoryview(next(self.waiting, b""))
                if not self.pending:
                    return False
            count = self.socket.send(self.pending[:PIECE_BYTES])
            self.pending = self.pending[count:]
            if count < PIECE_BYTES:
                return True

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class Crowd:
    """Runs clients on a thread of its own until it is closed."""

    def __init__(self, clients):
        self.clients = clients
        self.selector = selectors.DefaultSelector()
        self.moved_at = time.monotonic()
        self.ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        self.ended = True
        self.thread.join(60)
        for client in self.clients:
            client.close()

    def settle(self, seconds=30):
        """Waits until the crowd neither sends nor receives any more, or the time is up."""
        end = time.monotonic() + seconds
        self.moved_at = time.monotonic()
        while time.monotonic() < end and time.monotonic() - self.moved_at < QUIET_S:
            time.sleep(POLL_S)

    def start(self, client):
        try:
            client.open()
            self.selector.register(client.socket, selectors.EVENT_WRITE, client)
        except OSError:
            client.close()

    def run(self):
        for client in self.clients:
            self.start(client)
        while not self.ended:
            for key, events in self.selector.select(POLL_S):
                self.serve(key.data, events)
        self.selector.close()

    def serve(self, client, events):
        try:
            if events & selectors.EVENT_WRITE and not client.send():
                if client.reads or client.reopens > 0:
                    self.selector.modify(client.socket, selectors.EVENT_READ, client)
                else:
                    self.selector.unregister(client.socket)
            if events & selectors.EVENT_READ:
                data = client.socket.recv(PIECE_BYTES)
                client.received += data[:4096]
                if not data:
                    raise ConnectionResetError
            self.moved_at = time.monotonic()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EWOULDBLOCK, errno.ENOTCONN):
                self.moved_at = time.monotonic()
            self.selector.unregister(client.socket)
            client.close()
            if client.reopens > 0:
                client.reopens -= 1
                self.start(client)


class Watch:
    """Samples a process while it lives: memory with the bytes that have arrived and were not read, and descriptors."""

    def __init__(self, pid, ip, ports):
        self.pid, self.ports = pid, ports
        self.ip = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
        self.most_bytes = self.most_unread = self.most_sockets = self.most_descriptors = 0
        self.ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def close(self):
        self.ended = True
        self.thread.join(60)

    def run(self):
        while not self.ended:
            try:
                self.sample()
            except (OSError, ValueError):
                pass  # the process has ended, which is checked elsewhere
            time.sleep(SAMPLE_S)

    def memory(self, field):
        with open(f"/proc/{self.pid}/status", encoding="utf-8") as stream:
            for line in stream:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) << 10
        return 0

    def descriptors(self):
        """The inodes of the process's sockets, and how many descriptors it has in all."""
        inodes, count = set(), 0
        for entry in os.listdir(f"/proc/{self.pid}/fd"):
            try:
                target = os.readlink(f"/proc/{self.pid}/fd/{entry}")
            except OSError:
                continue
            count += 1
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        return inodes, count

    def unread(self, inodes):
        """Bytes that have arrived for the process and were not read, also on connections that it has not accepted."""
        total = 0
        with open("/proc/net/tcp", encoding="utf-8") as stream:
            next(stream)
            for line in stream:
                parts = line.split()
                ip, port = parts[1].split(":")
                listening = parts[3] == "0A"
                if not listening and (parts[9] in inodes or (ip == self.ip and int(port, 16) in self.ports)):
                    total += int(parts[4].split(":")[1], 16)
        return total

    def sample(self):
        inodes, count = self.descriptors()
        unread = self.unread(inodes)
        self.most_unread = max(self.most_unread, unread)
        self.most_bytes = max(self.most_bytes, self.memory("VmRSS") + unread, self.memory("VmHWM"))
        self.most_sockets = max(self.most_sockets, len(inodes))
        self.most_descriptors = max(self.most_descriptors, count)
