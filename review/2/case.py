"""A configuration in which two routes share host and prefix, the hosts differing in case only (CONFIG, ROUTE)."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import fleet  # noqa: E402


async def ask_all(system, record, host, name):
    """One request through each furrow; the services that ran them."""
    ran = []
    for index, (ip, port, _) in enumerate(system.fronts):
        connection = fleet.Connection(ip, port)
        query = f"{name}{index:04d}"
        record.note("sent", query, "Host:", host, "to", ip)
        try:
            status, _, text = await connection.ask("GET", "/card/1", {"Host": host, "Attempt-Id": query, "Time-Left": 8000})
        finally:
            connection.close()
        record.note("answered", query, status, text.decode("utf-8", "replace"))
        ran.append((status, text.decode("utf-8", "replace").rsplit(" ", 1)[-1]))
    return ran


async def body(system, platform, operator, record, trouble):
    platform.add("i-gate", "gate", "dub-north")
    platform.add("i-other", "other", "dub-north")
    await platform.begin()
    system.start_all()
    plants = [fleet.plant("gate"), fleet.plant("other")]
    first = [fleet.channel("card", "gate.example", "/card/", "gate")]
    status, text = await operator.put(fleet.config(1, first, plants), 0, 30)
    if status != 200:
        raise fleet.CannotRun(f"the first configuration was not taken: {status} {text}")
    await fleet.all_ready(system)
    before = await ask_all(system, record, "gate.example", "before")
    record.tell("with version 1:", before)
    if any(entry != (200, "gate") for entry in before):
        raise fleet.CannotRun("the first configuration is not served")
    # With TROUBLE=0 the second route has a host of its own, and the version is valid.
    second = "Gate.Example" if trouble else "other.example"
    more = [*first, fleet.channel("other-card", second, "/card/", "other")]
    status, text = await operator.put(fleet.config(2, more, plants), 1)
    record.tell(f"version 2, whose second route has the host {second} and the same prefix: {status} {text.decode('utf-8', 'replace')}")
    await asyncio.sleep(fleet.BOUNDS["apply_ms"] / 1000 + 1.0)
    one = await ask_all(system, record, "gate.example", "lower")
    other = await ask_all(system, record, second, "second")
    record.tell("Host gate.example:", one, f"Host {second}:", other)
    _, shown = await operator.order("GET", "/v1/config")
    record.tell("read back: version", json.loads(shown)["revision"])
    if system.ended_by_themselves():
        raise fleet.CannotRun("a process ended")
    if not trouble:
        return status != 200 or any(entry != (200, "gate") for entry in one) or any(entry != (200, "other") for entry in other)
    # Either the hosts are one (HTTP/1.1), and an invalid configuration was acknowledged; or they are two, and a
    # request on route "card" must be run by "gate".
    record.tell("an invalid configuration was acknowledged" if status == 200 else "refused as invalid")
    return status == 200


if __name__ == "__main__":
    sys.exit(fleet.play(sys.argv[1], body))
