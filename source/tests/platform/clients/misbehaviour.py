"""What clients that don't behave send: each function gives the pieces of one connection."""
import struct

MEBIBYTE = 1 << 20
FRAME_MAGIC = 0x46434C31
FRAME_BYTES = 8 * MEBIBYTE  # as large as a frame may be
SHORT_OF_END = 10  # bytes that are missing at the end of a body


def head(path="/plain/crowd", method="POST", fields=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: any.example", "Attempt-Id: crowd", "Time-Left: 60000", *fields]
    return ("\r\n".join(lines) + "\r\n").encode()


def chunked(path="/plain/crowd", method="POST"):
    return head(path, method, ["Transfer-Encoding: chunked"]) + b"\r\n"


def silent():
    return []


def unfinished_head(path="/plain/crowd", count=14):
    return [head(path, "GET", [f"Field-{index}: " + "v" * 1000 for index in range(count)])]


def endless_head(path="/plain/crowd", mebibytes=4):
    return [head(path, "GET"), *([("Field: " + "v" * 1000 + "\r\n").encode() * 1024] * mebibytes)]


def endless_trailers(path="/plain/crowd", method="POST", mebibytes=8, body=b"1\r\nx\r\n"):
    lines = ("Trailer-Field: " + "v" * 1000 + "\r\n").encode() * 1024
    return [chunked(path, method) + body + b"0\r\n", *([lines] * mebibytes)]


def endless_extension(path="/plain/crowd", method="POST", size="1", mebibytes=8):
    return [chunked(path, method) + f"{size};name=".encode(), *([b"v" * MEBIBYTE] * mebibytes)]


def large_chunks_short_of_end(body_bytes, path="/plain/crowd", method="POST"):
    piece = 128 << 10
    whole = f"{piece:x}\r\n".encode() + b"x" * piece + b"\r\n"
    last = f"{piece:x}\r\n".encode() + b"x" * (piece - SHORT_OF_END)
    return [chunked(path, method), *([whole] * (body_bytes // piece - 1)), last]


def small_chunks_short_of_end(body_bytes, path="/plain/crowd", method="POST"):
    return [chunked(path, method), b"8\r\nxxxxxxxx\r\n" * (body_bytes // 8 - 1), b"8\r\nx"]


def length_short_of_end(body_bytes, path="/plain/crowd", method="POST"):
    return [head(path, method, [f"Content-Length: {body_bytes}"]) + b"\r\n", b"x" * (body_bytes - SHORT_OF_END)]


def far_over_announced(path="/plain/crowd", method="POST", mebibytes=8):
    return [head(path, method, ["Content-Length: 100000000000"]) + b"\r\n", *([b"x" * MEBIBYTE] * mebibytes)]


def far_over_sent(path="/plain/crowd", method="POST", mebibytes=8):
    return [chunked(path, method), *([f"{MEBIBYTE:x}\r\n".encode() + b"x" * MEBIBYTE + b"\r\n"] * mebibytes)]


def sent_ahead(path="/slow/crowd", mebibytes=8):
    return [head(path, "GET") + b"\r\n", *([(head(path, "GET") + b"\r\n") * (MEBIBYTE // len(head(path, "GET")))] * mebibytes)]


def unread_answer(path="/plain/large"):
    return [head(path, "GET") + b"\r\n"]


def unread_refusals(path="/absent/crowd", mebibytes=4):
    return sent_ahead(path, mebibytes)


def unfinished_frame(announced=FRAME_BYTES, sent=MEBIBYTE):
    return [struct.pack("<III", FRAME_MAGIC, announced, 0), b"x" * sent]
