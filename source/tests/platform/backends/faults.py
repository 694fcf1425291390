"""What faulty back ends send: each function gives the pieces of one answer, which has no end, or which stops just short of
a limit and stays open (a last piece of None).

`query` is the Attempt-Id of the request that is answered.
"""
import itertools

PIECE = 64 << 10
FIELDS_A_PIECE = 64
NUMBER_DIGITS = 20
# Just short of what a proxy keeps of an answer.
HEAD_BYTES = 60 << 10
BETWEEN_CHUNKS_BYTES = 120 << 10
EVENT_BYTES = 1000 << 10
BODY_BYTES = 8 << 20


def head(query, status="200 OK", fields=()):
    lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {query}", "Answer-Seal: sealed", "Load-Level: 1,0,8", *fields]
    return ("\r\n".join(lines) + "\r\n").encode()


def forever(piece):
    return itertools.repeat(piece)


def after(begin, rest):
    return itertools.chain([begin], rest)


# In a head.

def head_of_noise(_query):
    return forever(b"\xa5" * PIECE)


def head_of_letters(_query):
    return forever(b"x" * PIECE)


def head_of_empty_lines(_query):
    return forever(b"\r\n" * (PIECE // 2))


def status_line(_query):
    return after(b"HTTP/1.1 200 ", forever(b"x" * PIECE))


def field(query):
    return after(head(query) + b"Field: ", forever(b"x" * PIECE))


def fields(query):
    return after(head(query), forever((b"Field: " + b"x" * 1000 + b"\r\n") * FIELDS_A_PIECE))


def interim_answers(_query):
    return forever(b"HTTP/1.1 100 Continue\r\n\r\n" * 1024)


# In a body.

def body_until_close(query):
    return after(head(query, fields=["Connection: close"]) + b"\r\n", forever(b"x" * PIECE))


def body_of_huge_length(query):
    return after(head(query, fields=["Content-Length: " + "9" * (NUMBER_DIGITS - 4)]) + b"\r\n", forever(b"x" * PIECE))


def chunked(query, content_type="text/plain"):
    return head(query, fields=[f"Content-Type: {content_type}", "Transfer-Encoding: chunked"]) + b"\r\n"


def chunks(query):
    return after(chunked(query), forever(f"{PIECE:x}\r\n".encode() + b"x" * PIECE + b"\r\n"))


def chunk_size(query):
    return after(chunked(query), forever(b"0" * PIECE))


def chunk_of_noise(query):
    return after(chunked(query), forever(b"\xa5" * PIECE))


def chunk_extension(query):
    return after(chunked(query) + b"1;name=", forever(b"x" * PIECE))


def trailers(query):
    return after(chunked(query) + b"1\r\nx\r\n0\r\n", forever((b"Field: " + b"x" * 1000 + b"\r\n") * FIELDS_A_PIECE))


def refusal(query):
    return after(head(query, "503 Service Unavailable", ["Not-Run: 1", "Transfer-Encoding: chunked"]) + b"\r\n",
                 forever(f"{PIECE:x}\r\n".encode() + b"x" * PIECE + b"\r\n"))


# In a stream of events.

def stream_until_close(query, begin, piece):
    return after(head(query, fields=["Content-Type: text/event-stream", "Connection: close"]) + b"\r\n" + begin, forever(piece))


def event(query):
    return stream_until_close(query, b"id: 1\ndata: ", b"x" * PIECE)


def second_event(query):
    return stream_until_close(query, b"id: 1\ndata: one\n\nid: 2\ndata: ", b"x" * PIECE)


def event_of_lines(query):
    return stream_until_close(query, b"id: 1\n", b"data: x\n" * (PIECE // 8))


def event_of_noise(query):
    return stream_until_close(query, b"", b"\xa5" * PIECE)


def event_in_chunks(query):
    return after(chunked(query, "text/event-stream"), forever(f"{PIECE:x}\r\n".encode() + b"x" * PIECE + b"\r\n"))


def comments(query):
    return stream_until_close(query, b"", b": x\n\n" * (PIECE // 5))


def repeated_events(query):
    return stream_until_close(query, b"id: 1\ndata: one\n\n", b"id: 1\ndata: one\n\n" * (PIECE // 17))


# Short of a limit, and then nothing.

def short(begin, count):
    """`count` bytes behind `begin`, and then silence."""
    return itertools.chain([begin], [b"x" * min(PIECE, count - sent) for sent in range(0, count, PIECE)], [None])


def short_head(query):
    return short(head(query) + b"Field: ", HEAD_BYTES)


def short_extension(query):
    return short(chunked(query) + b"1;name=", BETWEEN_CHUNKS_BYTES)


def short_trailer(query):
    return short(chunked(query) + b"1\r\nx\r\n0\r\nField: ", BETWEEN_CHUNKS_BYTES)


def short_refusal(query):
    begin = head(query, "503 Service Unavailable", ["Not-Run: 1", "Transfer-Encoding: chunked"]) + b"\r\n1;name="
    return short(begin, BETWEEN_CHUNKS_BYTES)


def short_body(query):
    return short(head(query, fields=[f"Content-Length: {2 * BODY_BYTES}"]) + b"\r\n", BODY_BYTES)


def short_event(query):
    return short(head(query, fields=["Content-Type: text/event-stream", "Connection: close"]) + b"\r\ndata: ", EVENT_BYTES)


def short_event_extension(query):
    return short(chunked(query, "text/event-stream") + b"f\r\nid: 1\ndata: x\n\n\r\n1;name=", BETWEEN_CHUNKS_BYTES)


HEADS = [head_of_noise, head_of_letters, head_of_empty_lines, status_line, field, fields, interim_answers]
BODIES = [body_until_close, body_of_huge_length, chunks, chunk_size, chunk_of_noise, chunk_extension, trailers, refusal]
SHORT_ANSWERS = [short_head, short_extension, short_trailer, short_refusal, short_body]
SHORT_STREAMS = [short_head, short_event, short_event_extension]
STREAMS = [event, second_event, event_of_lines, event_of_noise, event_in_chunks, comments, repeated_events]
