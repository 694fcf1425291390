#!/usr/bin/env python3
"""Plays the platform's worker list and one plain worker in each zone: workers.py FILE, until it is ended."""
import http.server
import json
import sys
import threading

LIST_PATH = "/workers"


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass  # a process that was killed reads no answers


def serve(address, answer):
    """answer(path, headers) gives status, headers and body."""
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            status, headers, body = answer(self.path, self.headers)
            self.send_response(status)
            for name, value in {**headers, "Content-Length": str(len(body))}.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            pass

    ip, port = address.rsplit(":", 1)
    threading.Thread(target=Server((ip, int(port)), Handler).serve_forever, daemon=True).start()


def work(path, headers):
    """An answer of a worker's own: it names the query and bears a seal."""
    return 200, {"Finchlink-Query": headers.get("Finchlink-Query", ""), "Finchlink-Seal": "sealed", "Finchlink-Load": "1,0,100"}, path.encode()


def main():
    with open(sys.argv[1], encoding="utf-8") as stream:
        given = json.load(stream)
    listed = json.dumps({"revision": 1, "workers": given["workers"]}).encode()
    serve(given["list_address"], lambda path, _: (200, {"Content-Type": "application/json"}, listed) if path == LIST_PATH else (404, {}, b""))
    for worker in given["workers"]:
        serve(worker["address"], work)
    threading.Event().wait()


if __name__ == "__main__":
    main()
