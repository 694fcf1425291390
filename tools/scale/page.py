"""Slopes and docs/CAPACITY.md from the runs of scale.py; computes, measures nothing."""
import json
import sys

# What the page is computed for.
TARGET = {"furrows": 410, "workers": 600, "changes_per_s": 790 / 86400, "trellises": 4, "force_s": 6.0, "processor": 0.013, "memory_mb": 128, "bytes_per_s": 7000}
# Terms a cost may have: name, and its size in a run of N furrows and W workers.
TERMS = [("fixed", lambda n, w: 1.0), ("per furrow", lambda n, w: n), ("per worker", lambda n, w: w), ("per furrow and furrow", lambda n, w: n * n), ("per furrow and worker", lambda n, w: n * w)]


def fit(rows, values):
    """Least squares with no negative terms, rows weighted by what they measure."""
    most = max(values) if values else 0
    if most <= 0:
        return [0.0] * len(rows[0])
    weights = [1 / max(value, most / 20) for value in values]
    scales = [max(abs(row[term]) for row in rows) or 1.0 for term in range(len(rows[0]))]
    table = [[row[term] / scales[term] * weight for term in range(len(row))] for row, weight in zip(rows, weights)]
    aims = [value * weight for value, weight in zip(values, weights)]
    found = [0.0] * len(scales)
    squares = [sum(row[term] ** 2 for row in table) for term in range(len(scales))]
    left = list(aims)
    for _ in range(20000):
        moved = 0.0
        for term in range(len(scales)):
            if squares[term] == 0:
                continue
            step = max(-found[term], sum(row[term] * rest for row, rest in zip(table, left)) / squares[term])
            if step:
                found[term] += step
                left = [rest - step * row[term] for row, rest in zip(table, left)]
                moved = max(moved, abs(step))
        if moved < 1e-10:
            break
    return [value / scale for value, scale in zip(found, scales)]


def error_of(rows, values, slopes):
    """Mean relative error of the fit over the runs."""
    shares = [abs(sum(a * b for a, b in zip(row, slopes)) - value) / value for row, value in zip(rows, values) if value > 0]
    return sum(shares) / len(shares) if shares else 0.0


def traffic(process):
    """Frames and bytes a second, both ways."""
    counts = process["frames_per_s"].values()
    return sum(c[0] + c[2] for c in counts), sum(c[1] + c[3] for c in counts)


def role(entry, window, name):
    processes = entry[window]["processes"]
    if name == "furrow":
        gourd = processes["gourd"]
        frames, size = traffic(gourd)
        return {"processor": gourd["processor"] / entry["furrows"], "frames": frames / entry["furrows"], "bytes": size / entry["furrows"], "memory_mb": gourd["peak_mb"] / entry["furrows"]}
    trellises = [process for key, process in processes.items() if key != "gourd"]
    pairs = [traffic(process) for process in trellises]
    return {"processor": sum(t["processor"] for t in trellises) / len(trellises), "frames": sum(p[0] for p in pairs) / len(pairs), "bytes": sum(p[1] for p in pairs) / len(pairs),
            "memory_mb": max(t["peak_mb"] for t in trellises)}


def slopes_of(runs):
    """Role and quantity to slopes and error; all from quiet windows."""
    rows = [[term(entry["furrows"], entry["workers"]) for _, term in TERMS] for entry in runs]
    table = {}
    for name in ("furrow", "trellis"):
        for quantity in ("processor", "memory_mb", "frames", "bytes"):
            values = [role(entry, "quiet", name)[quantity] for entry in runs]
            if name == "furrow" and quantity == "memory_mb":
                # One process bears all: what one more furrow adds is what counts.
                values = [entry["quiet"]["processes"]["gourd"]["peak_mb"] for entry in runs]
            slopes = fit(rows, values)
            table[name, quantity] = (slopes, error_of(rows, values, slopes))
    return table


def change_cost(runs, name, quantity):
    """What one change adds, for each run: (furrows, cost)."""
    costs = []
    for entry in runs:
        done = sum(1 for change in entry["changing"]["changes"] if change["revision"])
        if done:
            costs.append((entry["furrows"], (role(entry, "changing", name)[quantity] - role(entry, "quiet", name)[quantity]) * entry["changing"]["seconds"] / done))
    return costs


def at(slopes, furrows, workers):
    return sum(slope * term(furrows, workers) for slope, (_, term) in zip(slopes, TERMS))


def print_slopes(runs):
    for (name, quantity), (slopes, error) in slopes_of(runs).items():
        parts = ", ".join(f"{term} {slope:.3g}" for slope, (term, _) in zip(slopes, TERMS) if slope > 0)
        note = " (of all hollow furrows' process)" if (name, quantity) == ("furrow", "memory_mb") else ""
        print(f"{name:8} {quantity:10}{note} {parts or '0'}; mean error {100 * error:.1f}%")
    for name in ("furrow", "trellis"):
        for quantity in ("processor", "bytes"):
            costs = change_cost(runs, name, quantity)
            print(f"{name:8} {quantity:10} per change: " + ", ".join(f"{cost:.3g} at {furrows}" for furrows, cost in costs))


def usable(runs):
    """Runs in which every ask was answered in time; the others show a bound, no slope."""
    return [entry for entry in runs if entry.get("unanswered") == 0]


def key_of(entry):
    return entry["manner"], entry["warm"], entry["stir_ms"], entry["rules"], entry["figures"], entry["samples"], entry.get("churn", 0)


def number(value):
    for bound, unit in ((1e6, "M"), (1e3, "k")):
        if abs(value) >= bound:
            return f"{value / bound:.3g} {unit}"
    return f"{value:.3g}"


def run_table(runs):
    lines = ["| furrows | workers | trellis: core | MB | frames/s | bytes/s | furrow: core | frames/s | bytes/s | change held by all: p50, most | asks unanswered |", "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for entry in runs:
        trellis, furrow, spread = role(entry, "quiet", "trellis"), role(entry, "quiet", "furrow"), entry["spread"]
        lines.append(f"| {entry['furrows']} | {entry['workers']} | {100 * trellis['processor']:.2f}% | {trellis['memory_mb']:.0f} | {trellis['frames']:.0f} | {number(trellis['bytes'])} | "
                     f"{100 * furrow['processor']:.3f}% | {furrow['frames']:.1f} | {number(furrow['bytes'])} | {spread['p50_s']} s, {spread['max_s']} s ({spread['changes']} changes, {spread['furrows_lacking']} lacking) | {entry['unanswered']} of {entry['asks']} |")
    return lines


def verdict(value, bound):
    return "fits" if value <= bound else f"**{value / bound:.1f} times too much**"


def target_table(runs, check):
    table = slopes_of(runs)
    furrows, workers = TARGET["furrows"], TARGET["workers"]
    lines = ["| role | quantity | quiet | changes of configuration add | at the target | bound | |", "| --- | --- | --- | --- | --- | --- | --- |"]

    def row(name, quantity, scale, unit, bound):
        quiet = at(table[name, quantity][0], furrows, workers) * scale
        added = 0.0
        if quantity in ("processor", "bytes"):
            costs = [cost for size, cost in change_cost(runs, name, quantity) if size == max(entry["furrows"] for entry in runs)]
            if costs:
                cost = sum(costs) / len(costs) * (furrows / max(entry["furrows"] for entry in runs) if name == "trellis" else 1)
                added = max(0.0, cost) * TARGET["changes_per_s"] * scale
        total = quiet + added
        lines.append(f"| {name} | {unit} | {number(quiet)} | {number(added)} | {number(total)} | {number(bound) if bound else 'none told'} | {verdict(total, bound) if bound else ''} |")
        return total

    furrow_core = row("furrow", "processor", 100, "% of a core", 100 * TARGET["processor"])
    furrow_bytes = row("furrow", "bytes", 1, "bytes/s, both ways", TARGET["bytes_per_s"])
    row("furrow", "frames", 1, "frames/s, both ways", 0)
    # One more furrow's memory: the derivative of the process's fit.
    memory = table["furrow", "memory_mb"][0]
    added = memory[1] + 2 * memory[3] * furrows + memory[4] * workers
    lines.append(f"| furrow | MB that one more session adds | {number(added)} | | {number(added)} | {TARGET['memory_mb']} | {verdict(added, TARGET['memory_mb'])} |")
    trellis_core = row("trellis", "processor", 100, "% of a core", 0)
    row("trellis", "memory_mb", 1, "MB at its peak", TARGET["memory_mb"])
    trellis_bytes = row("trellis", "bytes", 1, "bytes/s, both ways", 0)
    row("trellis", "frames", 1, "frames/s, both ways", 0)
    core, size = furrow_core + trellis_core * TARGET["trellises"] / furrows, furrow_bytes + trellis_bytes * TARGET["trellises"] / furrows
    lines.append(f"| all | % of a core per node, {TARGET['trellises']} trellises shared out | | | {number(core)} | {number(100 * TARGET['processor'])} | {verdict(core, 100 * TARGET['processor'])} |")
    lines.append(f"| all | bytes/s per node, {TARGET['trellises']} trellises shared out | | | {number(size)} | {number(TARGET['bytes_per_s'])} | {verdict(size, TARGET['bytes_per_s'])} |")
    largest = max(entry["spread"]["max_s"] or 0 for entry in runs + check)
    lines.append(f"| all | s until a change is held everywhere (most of all runs) | | | {number(largest)} | {number(TARGET['force_s'])} | {verdict(largest, TARGET['force_s'])} |")
    return lines, table


def slope_table(table):
    lines = ["| role | quantity | " + " | ".join(term for term, _ in TERMS) + " | mean error |", "| --- | --- | " + "--- | " * len(TERMS) + "--- |"]
    for (name, quantity), (slopes, error) in table.items():
        what = {"processor": "core", "memory_mb": "MB" + (" of the process that bears all" if name == "furrow" else ""), "frames": "frames/s", "bytes": "bytes/s"}[quantity]
        lines.append(f"| {name} | {what} | " + " | ".join(number(slope) if slope > 0 else "" for slope in slopes) + f" | {100 * error:.0f}% |")
    return lines


def kinds(entry, name, seconds_name="quiet"):
    processes = entry[seconds_name]["processes"]
    chosen = [process for key, process in processes.items() if (key == "gourd") == (name == "furrow")]
    scale = entry["furrows"] if name == "furrow" else len(chosen)
    total = {}
    for process in chosen:
        for kind, counts in process["frames_per_s"].items():
            old = total.setdefault(kind, [0, 0, 0, 0])
            total[kind] = [a + b / scale for a, b in zip(old, counts)]
    return total


def kind_table(entry):
    lines = ["| role | message | sent/s | bytes/s | received/s | bytes/s |", "| --- | --- | --- | --- | --- | --- |"]
    for name in ("furrow", "trellis"):
        for kind, counts in sorted(kinds(entry, name).items(), key=lambda item: -item[1][1] - item[1][3]):
            if counts[1] + counts[3] >= 1:
                lines.append(f"| {name} | {kind} | " + " | ".join(number(value) for value in counts) + " |")
    return lines


def repeated(base):
    """Processor time of trellises in runs of one size: what the machine's load does to it."""
    sizes = {}
    for entry in base:
        sizes.setdefault((entry["furrows"], entry["workers"]), []).append(entry)
    return [f"Runs of {size[0]} furrows and {size[1]} workers gave " + " and ".join(f"{100 * role(entry, 'quiet', 'trellis')['processor']:.2f}% of a core (load average {entry['load_average']:.1f})" for entry in entries) +
            " per trellis: so far do processor figures scatter here." for size, entries in sizes.items() if len(entries) > 1]


def churn_lines(runs, base):
    """What one change of the platform list costs, against the run of that size without."""
    lines = []
    for entry in runs:
        like = [other for other in base if (other["furrows"], other["workers"]) == (entry["furrows"], entry["workers"])]
        done = entry["quiet"].get("list_changes", 0)
        if not entry.get("churn") or not like or done == 0:
            continue
        seconds = entry["quiet"]["seconds"]
        costs = {name: {quantity: (role(entry, "quiet", name)[quantity] - role(like[0], "quiet", name)[quantity]) * seconds / done for quantity in ("bytes", "processor")} for name in ("furrow", "trellis")}
        spent = {name: f"{1000 * cost['processor']:.2g} ms" if cost["processor"] > 0 else "no processor time above the noise" for name, cost in costs.items()}
        left = TARGET["bytes_per_s"] - role(like[0], "quiet", "furrow")["bytes"]
        lines.append(f"At {entry['furrows']} furrows and {entry['workers']} workers, {done} changes of one worker in {seconds:.1f} s (list of {entry['list_bytes']} bytes as JSON): each costs a furrow {number(costs['furrow']['bytes'])} bytes "
                     f"and {spent['furrow']}, a trellis {number(costs['trellis']['bytes'])} bytes and {spent['trellis']}. "
                     f"{number(TARGET['bytes_per_s'])} bytes/s bear {max(0.0, left) / costs['furrow']['bytes']:.2g} such changes a second.")
    return lines


def write_page(runs, path, texts):
    with open(texts, encoding="utf-8") as stream:
        page = stream.read()
    base = [entry for entry in runs if key_of(entry) == key_of(runs[0])]
    fitted = [entry for entry in usable(base) if entry["furrows"] != TARGET["furrows"]]
    check = [entry for entry in base if entry["furrows"] == TARGET["furrows"]]
    target, table = target_table(fitted, check)
    checks = []
    for entry in check:
        for name in ("furrow", "trellis"):
            measured = role(entry, "quiet", name)
            for quantity in ("processor", "frames", "bytes"):
                told = at(table[name, quantity][0], entry["furrows"], entry["workers"])
                checks.append(f"| {entry['furrows']} | {entry['workers']} | {name} | {quantity} | {number(told)} | {number(measured[quantity])} |")
    groups = {}
    for entry in runs:
        if key_of(entry) != key_of(runs[0]):
            groups.setdefault(key_of(entry), []).append(entry)
    others = []
    for key, entries in groups.items():
        manner, warm, stir, rules, figures, samples, churn = key
        others += ["", f"Manner {manner}; rules {rules} (setup of {entries[0]['setup_bytes']} bytes); {'warm workers told; ' if warm else ''}"
                   f"{f'every furrow tells another load each {stir} ms; ' if stir else ''}{f'one worker of the platform list changes {churn:g} times a second; ' if churn else ''}{figures} workers and {samples} rows in each report:", "", *run_table(entries)]
    largest = max(fitted + check, key=lambda entry: (entry["furrows"], entry["workers"]))
    loads = [entry["load_average"] for entry in runs]
    fields = {"RUNS": "\n".join(run_table(base)), "SLOPES": "\n".join(slope_table(table)), "TARGET": "\n".join(target), "OTHERS": "\n".join(others).strip() or "none",
              "CHECK": "\n".join(["| furrows | workers | role | quantity | from the slopes | measured |", "| --- | --- | --- | --- | --- | --- |", *checks]) if checks else "No run of this size.",
              "KINDS": f"At {largest['furrows']} furrows and {largest['workers']} workers, each furrow and each trellis (mean):\n\n" + "\n".join(kind_table(largest)),
              "LOAD": f"{min(loads):.1f} to {max(loads):.1f}", "MANNER": base[0]["manner"], "SETUP": str(base[0]["setup_bytes"]), "COUNT": str(len(runs)), "REPEATED": "\n".join(repeated(base)), "CHURN": "\n\n".join(churn_lines(runs, base)) or "Not run."}
    for name, text in fields.items():
        page = page.replace("{{" + name + "}}", text)
    with open(path, "w", encoding="utf-8") as stream:
        stream.write(page)


def run(command, paths):
    if len(paths) != (1 if command == "slopes" else 3):
        sys.exit("slopes RUNS, or page RUNS TEXT PAGE")
    with open(paths[0], encoding="utf-8") as stream:
        runs = json.load(stream)
    if command == "slopes":
        print_slopes([entry for entry in usable(runs) if key_of(entry) == key_of(runs[0])])
    else:
        write_page(runs, paths[2], paths[1])
