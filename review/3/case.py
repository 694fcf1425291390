"""A worker that is cold after its start turns cold again before the first spell is over (FAILBACK)."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import fleet  # noqa: E402

WARMUP_S, COLD_PER_S = 3.0, 45.0
ALLOWED = COLD_PER_S * fleet.BOUNDS["cold_overshoot"] + fleet.BOUNDS["cold_slack"]
CLIENTS, EACH_PER_S, LOAD_S = 30, 10.0, 12.0
JOINS_AT, AGAIN_AFTER = 3.0, 2.5


async def client(system, record, index, end, counts):
    ip, port, _ = system.fronts[index % len(system.fronts)]
    connection = fleet.Connection(ip, port)
    number = 0
    due = record.now() + index / CLIENTS / EACH_PER_S
    while record.now() < end:
        await asyncio.sleep(max(0.0, due - record.now()))
        due += 1 / EACH_PER_S
        number += 1
        query = f"{index:04x}{number:08x}"
        record.note("sent", query)
        try:
            status, headers, text = await connection.ask("GET", "/card/1", {"Host": "gate.example", "Attempt-Id": query, "Time-Left": 8000})
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, text = 0, repr(error).encode()
        counts[status] = counts.get(status, 0) + 1
        record.note("answered", query, status, text[:60].decode("utf-8", "replace"))
    connection.close()


async def body(system, platform, operator, record, trouble):
    platform.add("i-first", "gate", "dub-south")
    await platform.begin()
    system.start_all()
    status, text = await operator.put(fleet.config(1, [fleet.channel("card", "gate.example", "/card/", "gate")], [fleet.plant("gate", warmup_s=WARMUP_S, cold_per_s=COLD_PER_S)]), 0, 30)
    if status != 200:
        raise fleet.CannotRun(f"the first configuration was not taken: {status} {text}")
    await fleet.all_ready(system)
    begun = record.now()
    counts = {}
    clients = [asyncio.ensure_future(client(system, record, index, begun + LOAD_S, counts)) for index in range(CLIENTS)]
    await asyncio.sleep(JOINS_AT)
    joined = platform.add("i-second", "gate", "dub-south", cold_s=WARMUP_S)
    await joined.serve()
    record.note("i-second starts, cold for", WARMUP_S)
    await asyncio.sleep(AGAIN_AFTER)
    if trouble:
        joined.cold_until = record.now() + WARMUP_S
        record.note("i-second turns cold again, for", WARMUP_S)
    await asyncio.gather(*clients)
    if system.ended_by_themselves():
        raise fleet.CannotRun("a process ended")
    cold = [at for at, _, worker, _, left, _, _ in platform.runs if worker == "i-second" and left > 0]
    most, when, first = 0, 0.0, 0
    for index, at in enumerate(cold):
        while at - cold[first] > 1.0:
            first += 1
        if index - first + 1 > most:
            most, when = index - first + 1, at
    record.tell(f"answers by status {counts}; all requests at i-second {joined.runs}")
    record.tell(f"most requests at the cold worker within one second: {most} (at {when:.3f} s), allowed {ALLOWED}")
    return most > ALLOWED


if __name__ == "__main__":
    sys.exit(fleet.play(sys.argv[1], body))
