"""Configurations that operators send: whole ones, partial changes, and what is wrong on purpose."""
import copy
import json

SERVICE = "web"
HOST = "any.example"
MARKER = "marker"
LARGE_ROUTES = 1700


def route(name, prefix):
    return {"name": name, "host": HOST, "prefix": prefix, "shares": [{"service": SERVICE, "weight": 1}], "repeatable": True, "deadline_ms": 3000, "dispatches": 2}


def marker_prefix(identity):
    """A route that only the configuration made by this change serves."""
    return f"/marker/{identity}/"


def empty():
    return {"number": 0, "lanes": [], "services": [{"name": SERVICE, "connections": 100}]}


def patch(number, identity, added, removed):
    """A partial change that adds and removes routes by name."""
    lanes = [route(MARKER, marker_prefix(identity))] + [route(name, f"/{name}/") for name in added]
    return {"number": number, "upsert": {"lanes": lanes}, "remove": {"lanes": removed}}


def merged(document, change):
    """What a partial change makes of a document: replaced routes keep their place, new ones follow."""
    result = copy.deepcopy(document)
    result["number"] = change["number"]
    given = {lane["name"]: lane for lane in change["upsert"]["lanes"]}
    gone = set(change["remove"]["lanes"]) - set(given)
    lanes = [given.get(lane["name"], lane) for lane in result["lanes"] if lane["name"] not in gone]
    there = {lane["name"] for lane in lanes}
    result["lanes"] = lanes + [lane for name, lane in given.items() if name not in there]
    return result


def routes_of(document):
    return frozenset(lane["prefix"] for lane in document["lanes"])


def names_of(document):
    return [lane["name"] for lane in document["lanes"] if lane["name"] != MARKER]


def spoiled(document, how):
    """The text of a document that must be refused."""

    wrong = copy.deepcopy(document)
    if how == 0:
        wrong["lanes"].append({**route("wrong", "/wrong/"), "shares": [{"service": "nobody", "weight": 1}]})
    elif how == 1:
        wrong["lanes"].append(dict(wrong["lanes"][0], prefix="/twice/"))
    elif how == 2:
        return json.dumps(wrong)[:-20]
    else:
        wrong["lanes"][0]["deadline_ms"] = -5
    return json.dumps(wrong)
