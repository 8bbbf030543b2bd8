#!/usr/bin/env python3
"""Makes days of our own from a site file of the bench: another size, another
delay before a controller is back, crashes in a row.  Everything that differs is
an argument; the copy goes to a folder that is named, never beside the original.

    days.py SITE OUT [--size F] [--restart-delay S] [--seed N] [--crash AT:COUNT[:EVERY:TIMES]]...
                     [--cut AT:FOR]...

--size scales machines, capacity, traffic, guarantees, limits of teams and the
number of machines in each trouble.  --crash adds to every day TIMES crashes of
COUNT controllers, the busiest first, from second AT on, EVERY seconds apart;
--cut cuts the busiest controller off for so long, and what it sent arrives at
the end.  Prints the path of the new site file.  Exit code 2: bad input.
"""

import argparse
import pathlib
import shutil
import sys

try:
    import tomllib
except ImportError:
    sys.exit("days.py: needs Python 3.11 or later")

SCALED_FAULTS = ("machine_die", "machine_hang", "machine_sick", "machine_slow")


def fail(why):
    print(f"days.py: {why}", file=sys.stderr)
    sys.exit(2)


def text(v):
    """A value in TOML."""
    if isinstance(v, bool):
        return "true" if v else "false"
    if isinstance(v, (int, float)):
        return repr(v)
    if isinstance(v, str):
        return '"' + v.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(v, list):
        return "[" + ", ".join(map(text, v)) + "]"
    return "{ " + ", ".join(f"{k} = {text(x)}" for k, x in v.items()) + " }"


def write(site):
    """A site file: tables of one level and lists of tables, as the bench has them."""
    out = [f"{k} = {text(v)}" for k, v in site.items() if not isinstance(v, (dict, list))]
    for k, v in site.items():
        if isinstance(v, dict):
            out += ["", f"[{k}]"] + [f"{n} = {text(x)}" for n, x in v.items()]
        elif isinstance(v, list):
            for table in v:
                out += ["", f"[[{k}]]"] + [f"{n} = {text(x)}" for n, x in table.items()]
    return "\n".join(out) + "\n"


def scale(site, by):
    """Machines, traffic, guarantees and the machines of each trouble."""
    more = lambda table, *keys: table.update({k: round(table[k] * by) for k in keys if k in table})
    for pool in site.get("capacity", []) + site.get("machines", []):
        more(pool, "count", "spot") if not isinstance(pool.get("spot"), bool) else more(pool, "count")
    for team in site.get("teams", []):
        for k in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if k in team:
                team[k] *= by
    for work in site.get("jobs", []) + site.get("pipelines", []):
        more(work, "initial")
        if "rate" in work.get("arrivals", {}):
            work["arrivals"]["rate"] *= by
    for day in site.get("day", []):
        for fault in day.get("faults", []):
            if fault.get("kind") in SCALED_FAULTS:
                more(fault, "count")


def numbers(arg, least, most):
    try:
        parts = [float(p) for p in arg.split(":")]
    except ValueError:
        fail(f"{arg}: numbers with colons between them")
    if not least <= len(parts) <= most or any(p < 0 for p in parts):
        fail(f"{arg}: {least} to {most} numbers of 0 or more")
    return parts


def main():
    p = argparse.ArgumentParser(add_help=True, description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    p.add_argument("site", type=pathlib.Path)
    p.add_argument("out", type=pathlib.Path)
    p.add_argument("--size", type=float, default=1.0)
    p.add_argument("--restart-delay", type=float)
    p.add_argument("--seed", type=int)
    p.add_argument("--crash", action="append", default=[])
    p.add_argument("--cut", action="append", default=[])
    a = p.parse_args()
    if not a.size > 0 or a.size > 100:
        fail(f"--size {a.size}: above 0, at most 100")
    if a.restart_delay is not None and not 0 <= a.restart_delay <= 3600:
        fail(f"--restart-delay {a.restart_delay}: 0 to 3600 seconds")
    try:
        site = tomllib.loads(a.site.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as e:
        fail(f"{a.site}: {e}")
    if "nodes" not in site or "day" not in site:
        fail(f"{a.site}: not a site file: no [nodes] or no [[day]]")
    scale(site, a.size)
    if a.restart_delay is not None:
        site["nodes"]["restart_delay_s"] = a.restart_delay
    added = []
    for crash in a.crash:
        at, count, every, times = (numbers(crash, 2, 4) + [0.0, 1.0])[:4] if crash.count(":") != 2 else fail(
            f"{crash}: AT:COUNT or AT:COUNT:EVERY:TIMES"
        )
        for n in range(int(times)):
            added.append({"at_s": at + n * every, "kind": "node_crash", "count": int(count), "busiest": True})
    for cut in a.cut:
        at, lasts = numbers(cut, 2, 2)
        kind = {"kind": "node_cut", "count": 1, "busiest": True, "from_state": True}
        added.append({"at_s": at, **kind, "for_s": lasts, "mode": "hold"})
    for n, day in enumerate(site["day"]):
        day["faults"] = sorted(day.get("faults", []) + added, key=lambda f: f["at_s"])
        if a.seed is not None:
            day["seed"] = a.seed + n
    if a.seed is not None:
        site["seed"] = a.seed
    try:
        a.out.mkdir(parents=True, exist_ok=True)
        path = a.out / a.site.name
        if path.resolve() == a.site.resolve():
            fail(f"{a.out}: holds the original")
        path.write_text(write(site))
        wire = a.site.parent / site.get("wire", "wire.json")
        if wire.exists():
            shutil.copyfile(wire, a.out / wire.name)
    except OSError as e:
        fail(e)
    print(path)


if __name__ == "__main__":
    main()
