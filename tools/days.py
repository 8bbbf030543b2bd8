#!/usr/bin/env python3
"""Makes days of our own from a site file of the bench: another size, another
delay before a controller is back, troubles of our own, alone or two at a time.
Everything that differs is an argument; the copy goes to a folder that is named,
never beside the original.

    days.py SITE OUT [--size F] [--restart-delay S] [--seed N] [--duration S]
                     [--run CLASS:F]... [--cancelled CLASS:SHARE]... [--day NAME]
                     [--rate CLASS:F]... [--tasks CLASS:N]... [--limits F]
                     [--crash AT:COUNT[:EVERY:TIMES]]... [--cut AT:FOR]...
                     [--fault KIND,KEY=VALUE,...]... [--pairs [--only-pairs]]
                     [--meet NAME,NAME,...]...

--size scales machines, capacity, traffic, guarantees, limits of teams and the
number of machines in each trouble.  --run multiplies how long the tasks of a class
run (of all, with the class `*`); --cancelled sets the share of its jobs that users
withdraw; --rate multiplies how often they come, --tasks gives each so many tasks,
--limits multiplies the teams' limits and guarantees.  --crash adds TIMES crashes of
COUNT controllers, the busiest first, from second AT on, EVERY seconds apart; --cut
cuts the busiest controller off for so long, and what it sent arrives at the end;
--fault adds any trouble that the bench knows, for example node_cut,at_s=120,count=1,busiest=true,from_state=true,for_s=4,
mode=refuse.  All of these go to every day of the site, or, with --day, to one new
day that has no others.  --pairs adds a day for each pair of the troubles that meet,
overlapping, drawn by the seed; --meet adds a day of just these together (an unknown
name prints those that there are).  Prints the path of the new site file.  Exit code 2:
bad input, all faults of it at once; nothing is written then.
"""

import argparse
import itertools
import pathlib
import random
import shutil
import sys

try:
    import tomllib
except ImportError:
    sys.exit("days.py: needs Python 3.11 or later")

SCALED_FAULTS = (
    "cancel_now",
    "machine_deaf",
    "machine_die",
    "machine_hang",
    "machine_mute",
    "machine_sick",
    "machine_slow",
)

# the troubles that the bench knows, with what each may say besides at_s
KINDS = {
    "boot_trouble": "fail factor for_s",
    "cancel_at_end": "share for_s",
    "cancel_now": "count hang_s",
    "close_looks": "for_s",
    "cloud_outage": "for_s",
    "job_burst": "class factor for_s",
    "late_reports": "share for_s for_next",
    "late_writes": "share for_s at_once",
    "machine_deaf": "count share zone for_s",
    "machine_die": "count",
    "machine_hang": "count for_s",
    "machine_mute": "count share zone for_s",
    "machine_sick": "count for_s",
    "machine_slow": "count factor for_s",
    "node_crash": "count busiest",
    "node_cut": "count busiest from_state from_peers from_workers for_s mode",
    "node_down": "count busiest for_s",
    "node_freeze": "count busiest for_s",
    "node_roll": "every_s",
    "node_slow": "count busiest factor for_s",
    "odd_requests": "for_s",
    "peers_refuse": "for_s",
    "spot_taken": "share notice_s over_s zone",
    "state_limits": "value_kb txn_ops write_rps",
    "state_outage": "for_s",
    "zone_cut": "zone for_s mode",
}

faults = []  # what is wrong with the input


def fail(why):
    """Bad input; all of it is told at once, by `settled`."""
    faults.append(why)


def settled():
    if faults:
        for why in faults:
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
        return None
    if not least <= len(parts) <= most or any(not p >= 0 for p in parts):
        fail(f"{arg}: {least} to {most} numbers of 0 or more")
        return None
    return parts


def shares(arg, what):
    """A class and a number: CLASS:F."""
    name, _, f = arg.rpartition(":")
    try:
        number = float(f)
    except ValueError:
        number = -1.0
    if not name or not number >= 0:
        fail(f"{what} {arg}: a class, a colon and a number of 0 or more")
    return name, number


def trouble(arg):
    """One trouble: KIND,KEY=VALUE,..."""
    kind, *rest = arg.split(",")
    if kind not in KINDS:
        fail(f"--fault {arg}: unknown trouble {kind}; known: {' '.join(KINDS)}")
        return None
    one = {"at_s": None, "kind": kind}
    for pair in rest:
        key, eq, value = pair.partition("=")
        if not eq or key not in ["at_s", *KINDS[kind].split()]:
            fail(f"--fault {arg}: {pair}: {kind} takes at_s {KINDS[kind]}")
        elif value in ("true", "false"):
            one[key] = value == "true"
        elif key in ("zone", "mode", "class"):
            one[key] = value
        else:
            try:
                one[key] = int(value) if key in ("count", "txn_ops") else float(value)
            except ValueError:
                fail(f"--fault {arg}: {key}: {value} is no number")
    if one["at_s"] is None:
        fail(f"--fault {arg}: at_s is missing")
    return one


def meetings(site, rng):
    """Each trouble that meets others, as a list of faults from second t on; how long
    each lasts is drawn, in ratios of the settings."""
    w = site["workers"]
    lease, cancel = w["lease_s"], w["cancel_s"]
    machines = sum(c.get("count", 0) for c in site.get("capacity", []))
    zone = rng.choice(site["nodes"]["zones"])
    busiest = {"count": 1, "busiest": True}
    lasts = lambda by, least=0.4: round(by * rng.uniform(least, 1.0), 1)
    refused = lambda t, s: {"at_s": t, "kind": "node_cut", **busiest, "from_state": True, "for_s": s, "mode": "refuse"}
    return {
        "late_writes": lambda t: [{"at_s": t, "kind": "late_writes", "share": 0.3, "for_s": lasts(lease * 2)}],
        "late_reports": lambda t: [{"at_s": t, "kind": "late_reports", "share": 0.3, "for_s": lasts(lease * 2)}],
        "deaf": lambda t: [
            {"at_s": t, "kind": "machine_deaf", "count": max(machines // 8, 1), "for_s": lasts(lease * 1.5)}
        ],
        "apart": lambda t: [
            {"at_s": t, "kind": "node_cut", **busiest, "from_state": True, "from_peers": True, "for_s": lasts(lease * 2), "mode": "hold"}
        ],
        "refused_then_out": lambda t: [
            refused(t, 3.0),
            {"at_s": t + 3.0, "kind": "state_outage", "for_s": round(cancel * 1.2, 1)},
        ],
        "refused": lambda t: [refused(t, lasts(lease * 2))],
        "outage": lambda t: [{"at_s": t, "kind": "state_outage", "for_s": lasts(lease)}],
        "crash": lambda t: [{"at_s": t + n * 1.5, "kind": "node_crash", **busiest} for n in range(3)],
        "all_crash": lambda t: [{"at_s": t, "kind": "node_crash", "count": site["nodes"]["count"], "busiest": True}],
        "zone_cut": lambda t: [{"at_s": t, "kind": "zone_cut", "zone": zone, "for_s": lasts(cancel, 0.8), "mode": "hold"}],
        "hang": lambda t: [
            {"at_s": t, "kind": "machine_hang", "count": max(machines // 12, 1), "for_s": lasts(lease * 1.2)}
        ],
        "freeze": lambda t: [{"at_s": t, "kind": "node_freeze", **busiest, "for_s": lasts(lease)}],
        "no_cloud": lambda t: [{"at_s": t, "kind": "cloud_outage", "for_s": lasts(cancel)}],
        "lost_answers": lambda t: [
            {"at_s": t, "kind": "late_writes", "share": 0.3, "for_s": lasts(lease * 2), "at_once": True}
        ],
        "reports_for_next": lambda t: [
            {"at_s": t, "kind": "late_reports", "share": 0.3, "for_s": lasts(lease * 2), "for_next": True}
        ],
        "mute": lambda t: [
            {"at_s": t, "kind": "machine_mute", "count": max(machines // 8, 1), "for_s": lasts(lease * 1.5)}
        ],
        "cancel_now": lambda t: [
            {"at_s": round(t + n * lease / 3, 1), "kind": "cancel_now", "count": 12, "hang_s": lasts(lease * 1.5)}
            for n in range(4)
        ],
        "cancel_at_end": lambda t: [{"at_s": t, "kind": "cancel_at_end", "share": 0.5, "for_s": lasts(cancel * 2)}],
        "odd": lambda t: [{"at_s": t, "kind": "odd_requests", "for_s": lasts(cancel * 2)}],
        "close_looks": lambda t: [{"at_s": t, "kind": "close_looks", "for_s": lasts(cancel * 2)}],
        "refused_cancel": lambda t: [
            refused(t, 1.0),
            {"at_s": t, "kind": "cancel_now", "count": 12, "hang_s": 0.0},
            {"at_s": t + 1.0, "kind": "state_outage", "for_s": round(cancel * 1.2, 1)},
        ],
        "ten_leaders": lambda t: [{"at_s": t + n * 12.0, "kind": "node_crash", **busiest} for n in range(10)],
        "all_away": lambda t: [
            {"at_s": t, "kind": "node_down", "count": site["nodes"]["count"], "busiest": True, "for_s": round(lease * 1.2, 1)}
        ],
    }


def pairs(site, rng):
    """A day for each pair of troubles, the second while the first lasts."""
    at = round(site.get("warmup_s", 0.0) + 30.0, 1)
    days = []
    names = list(meetings(site, rng))
    for one, other in itertools.combinations(names, 2):
        of = meetings(site, rng)
        both = of[one](at) + of[other](round(at + rng.uniform(0.0, 12.0), 1))
        days.append({"name": f"{one}-{other}", "slot": "scale", "light": False, "seed": rng.randrange(10**6), "faults": both})
    return days


def together(site, names, rng, n):
    """A day of these troubles, the later ones while the first lasts."""
    at = round(site.get("warmup_s", 0.0) + 30.0, 1)
    of = meetings(site, rng)
    for name in names:
        if name not in of:
            fail(f"--meet {','.join(names)}: unknown trouble {name}; known: {' '.join(of)}")
    starts = [at] + [round(at + rng.uniform(0.0, 12.0), 1) for _ in names[1:]]
    met = [fault for name, t in zip(names, starts) if name in of for fault in of[name](t)]
    met.sort(key=lambda f: f["at_s"])
    return {"name": "-".join(names), "slot": "scale", "light": False, "seed": rng.randrange(10**6) + n, "faults": met}


def main():
    p = argparse.ArgumentParser(add_help=True, description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    p.add_argument("site", type=pathlib.Path)
    p.add_argument("out", type=pathlib.Path)
    p.add_argument("--size", type=float, default=1.0)
    p.add_argument("--restart-delay", type=float)
    p.add_argument("--seed", type=int)
    p.add_argument("--duration", type=float)
    for many in ("--run", "--cancelled", "--rate", "--tasks", "--crash", "--cut", "--fault"):
        p.add_argument(many, action="append", default=[])
    p.add_argument("--limits", type=float, default=1.0)
    p.add_argument("--day")
    p.add_argument("--pairs", action="store_true")
    p.add_argument("--only-pairs", action="store_true")
    p.add_argument("--meet", action="append", default=[])
    a = p.parse_args()
    if not 0 < a.size <= 100:
        fail(f"--size {a.size}: above 0, at most 100")
    if a.restart_delay is not None and not 0 <= a.restart_delay <= 3600:
        fail(f"--restart-delay {a.restart_delay}: 0 to 3600 seconds")
    if a.duration is not None and not 0 < a.duration <= 36000:
        fail(f"--duration {a.duration}: above 0, at most 36000 seconds")
    if not 0 < a.limits <= 100:
        fail(f"--limits {a.limits}: above 0, at most 100")
    run = [shares(x, "--run") for x in a.run]
    rate = [shares(x, "--rate") for x in a.rate]
    tasks = [shares(x, "--tasks") for x in a.tasks]
    for x, (_, n) in zip(a.tasks, tasks):
        if n < 1 or n != int(n):
            fail(f"--tasks {x}: a whole number of 1 or more")
    cancelled = [shares(x, "--cancelled") for x in a.cancelled]
    added = [trouble(x) for x in a.fault]
    for crash in a.crash:
        parts = numbers(crash, 2, 4)
        if parts and len(parts) == 3:
            fail(f"--crash {crash}: AT:COUNT or AT:COUNT:EVERY:TIMES")
        elif parts:
            at, count, every, times = (parts + [0.0, 1.0])[:4]
            for n in range(int(times)):
                added.append({"at_s": at + n * every, "kind": "node_crash", "count": int(count), "busiest": True})
    for cut in a.cut:
        if parts := numbers(cut, 2, 2):
            at, lasts = parts
            kind = {"kind": "node_cut", "count": 1, "busiest": True, "from_state": True}
            added.append({"at_s": at, **kind, "for_s": lasts, "mode": "hold"})
    try:
        site = tomllib.loads(a.site.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as e:
        fail(f"{a.site}: {e}")
        settled()
    if "nodes" not in site or "day" not in site:
        fail(f"{a.site}: not a site file: no [nodes] or no [[day]]")
    classes = [work.get("name") for work in site.get("jobs", [])]
    for name, _ in run + cancelled + rate + tasks:
        if name not in [*classes, "*"]:
            fail(f"{name}: no class of {a.site.name}; it has {' '.join(classes)}")
    zones = site.get("nodes", {}).get("zones", [])
    for fault in filter(None, added):
        if fault.get("zone", zones and zones[0]) not in zones:
            fail(f"{fault['zone']}: no zone of {a.site.name}; it has {' '.join(zones)}")
        if fault.get("class", classes and classes[0]) not in classes:
            fail(f"{fault['class']}: no class of {a.site.name}; it has {' '.join(classes)}")
    settled()
    met_days = [
        together(site, names.split(","), random.Random(f"{a.seed or 0} {names}"), n) for n, names in enumerate(a.meet)
    ]
    settled()
    scale(site, a.size)
    for team in site.get("teams", []):
        for k in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if k in team:
                team[k] *= a.limits
    if a.restart_delay is not None:
        site["nodes"]["restart_delay_s"] = a.restart_delay
    if a.duration is not None:
        site["duration_s"] = a.duration
    for work in site.get("jobs", []):
        for name, by in run:
            if name in (work["name"], "*"):
                work["run_s"] = {k: v * by for k, v in work["run_s"].items()}
        for name, by in rate:
            if name in (work["name"], "*") and "rate" in work.get("arrivals", {}):
                work["arrivals"]["rate"] *= by
        for name, n in tasks:
            if name in (work["name"], "*"):
                work["tasks"] = {"sizes": [int(n)], "weights": [1.0]}
        for name, part in cancelled:
            if name in (work["name"], "*"):
                work["cancelled"] = part
    if a.day:
        site["day"] = [{"name": a.day, "slot": "scale", "light": False, "seed": 100}]
    for n, day in enumerate(site["day"]):
        day["faults"] = sorted(day.get("faults", []) + added, key=lambda f: f["at_s"])
        if a.seed is not None:
            day["seed"] = a.seed + n
    if a.pairs or a.only_pairs and not a.meet:
        met = pairs(site, random.Random(a.seed or 0))
        site["day"] = met if a.only_pairs else site["day"] + met
    if a.meet:
        site["day"] = ([] if a.only_pairs else site["day"]) + met_days
    if a.seed is not None:
        site["seed"] = a.seed
    if (a.out / a.site.name).resolve() == a.site.resolve():
        fail(f"{a.out}: holds the original")
        settled()
    try:
        a.out.mkdir(parents=True, exist_ok=True)
        path = a.out / a.site.name
        path.write_text(write(site))
        wire = a.site.parent / site.get("wire", "wire.json")
        if wire.exists():
            shutil.copyfile(wire, a.out / wire.name)
    except OSError as e:
        fail(e)
        settled()
    print(path)


if __name__ == "__main__":
    main()
