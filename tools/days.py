#!/usr/bin/env python3
"""Derives a new site file from a site file of the bench: with another size, another
restart delay of the controllers, or other faults on its days.  Arguments state all
changes.  The new file goes to the folder OUT, which must not be that of the original.

    days.py SITE OUT [--size F] [--restart-delay S] [--seed N] [--duration S]
                     [--run CLASS:F]... [--cancelled CLASS:SHARE]... [--day NAME]
                     [--rate CLASS:F]... [--tasks CLASS:N]... [--limits F]
                     [--crash AT:COUNT[:EVERY:TIMES]]... [--cut AT:FOR]...
                     [--fault KIND,KEY=VALUE,...]... [--pairs [--only-pairs]]
                     [--meet NAME,NAME,...]...

Size and load (the class `*` stands for all classes):

--size F                 multiplies machines, capacity, traffic, the guarantees and
                         limits of teams, and the number of machines in each fault
--limits F               multiplies the limits and guarantees of teams
--run CLASS:F            multiplies the run time of the class's tasks
--rate CLASS:F           multiplies the arrival rate of the class's jobs
--tasks CLASS:N          gives each job of the class N tasks
--cancelled CLASS:SHARE  sets the share of the class's jobs that users cancel
--restart-delay S        sets the seconds until a controller restarts
--duration S             sets the duration of a day in seconds
--seed N                 sets the seed of the site and of its days

Faults, which are added to every day of the site or, with --day NAME, to one new day
that replaces all others:

--crash  adds TIMES crashes of COUNT controllers, the busiest first, starting at second
         AT, EVERY seconds apart
--cut    disconnects the busiest controller from the state service at second AT for FOR
         seconds; what it sent meanwhile arrives at the end
--fault  adds any fault that the bench knows, for example
         node_cut,at_s=120,count=1,busiest=true,from_state=true,for_s=4,mode=refuse

Days with overlapping faults, with random times drawn from the seed:

--pairs       adds a day for each pair of the known fault scenarios
--meet        adds a day with just the named fault scenarios; an unknown name prints
              the known ones
--only-pairs  omits the other days; without --meet it implies --pairs

Prints the path of the new site file.  Exit code 2: invalid input; reports all errors at
once and writes nothing.
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

# Kinds of fault whose `count` is a number of machines, which --size scales.
SCALED_FAULTS = (
    "cancel_now",
    "machine_deaf",
    "machine_die",
    "machine_hang",
    "machine_mute",
    "machine_sick",
    "machine_slow",
)

# The kinds of fault that the bench knows, each with its fields other than `at_s`.
FAULT_FIELDS = {
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

input_errors = []


def add_error(message):
    """Records an error of the input; `exit_on_errors` reports all of them."""
    input_errors.append(message)


def exit_on_errors():
    """Prints the recorded errors and exits with code 2 if there are any."""
    if input_errors:
        for message in input_errors:
            print(f"days.py: {message}", file=sys.stderr)
        sys.exit(2)


def toml_value(value):
    """Returns a value in TOML syntax."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return "{ " + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + " }"


def toml_document(site):
    """Returns a site as TOML: plain values, tables of one level and lists of tables, which
    are all that the bench's site files have."""
    lines = [f"{key} = {toml_value(value)}" for key, value in site.items() if not isinstance(value, (dict, list))]
    for key, value in site.items():
        if isinstance(value, dict):
            lines += ["", f"[{key}]"] + [f"{field} = {toml_value(item)}" for field, item in value.items()]
        elif isinstance(value, list):
            for table in value:
                lines += ["", f"[[{key}]]"] + [f"{field} = {toml_value(item)}" for field, item in table.items()]
    return "\n".join(lines) + "\n"


def scale_site(site, factor):
    """Multiplies machines, traffic, guarantees, limits and the machines of each fault."""
    scale_fields = lambda table, *keys: table.update({key: round(table[key] * factor) for key in keys if key in table})
    for pool in site.get("capacity", []) + site.get("machines", []):
        scale_fields(pool, "count", "spot") if not isinstance(pool.get("spot"), bool) else scale_fields(pool, "count")
    for team in site.get("teams", []):
        for key in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if key in team:
                team[key] *= factor
    for work in site.get("jobs", []) + site.get("pipelines", []):
        scale_fields(work, "initial")
        if "rate" in work.get("arrivals", {}):
            work["arrivals"]["rate"] *= factor
    for day in site.get("day", []):
        for fault in day.get("faults", []):
            if fault.get("kind") in SCALED_FAULTS:
                scale_fields(fault, "count")


def parse_numbers(arg, min_count, max_count):
    """Parses numbers that are separated by colons; returns None and records an error if `arg`
    is invalid."""
    try:
        numbers = [float(part) for part in arg.split(":")]
    except ValueError:
        add_error(f"{arg}: must be numbers separated by colons")
        return None
    if not min_count <= len(numbers) <= max_count or any(not number >= 0 for number in numbers):
        add_error(f"{arg}: must have {min_count} to {max_count} numbers, each 0 or more")
        return None
    return numbers


def parse_class_number(arg, flag):
    """Parses a class and a number, CLASS:F; records an error if `arg` is invalid."""
    name, _, number_text = arg.rpartition(":")
    try:
        number = float(number_text)
    except ValueError:
        number = -1.0
    if not name or not number >= 0:
        add_error(f"{flag} {arg}: must be a class, a colon and a number of 0 or more")
    return name, number


def parse_fault(arg):
    """Parses a fault, KIND,KEY=VALUE,...; returns None if the kind is unknown."""
    kind, *rest = arg.split(",")
    if kind not in FAULT_FIELDS:
        add_error(f"--fault {arg}: unknown kind of fault {kind}; known: {' '.join(FAULT_FIELDS)}")
        return None
    fault = {"at_s": None, "kind": kind}
    for pair in rest:
        key, separator, value = pair.partition("=")
        if not separator or key not in ["at_s", *FAULT_FIELDS[kind].split()]:
            add_error(f"--fault {arg}: invalid field {pair}; the fields of {kind} are: at_s {FAULT_FIELDS[kind]}")
        elif value in ("true", "false"):
            fault[key] = value == "true"
        elif key in ("zone", "mode", "class"):
            fault[key] = value
        else:
            try:
                fault[key] = int(value) if key in ("count", "txn_ops") else float(value)
            except ValueError:
                add_error(f"--fault {arg}: {key}: {value} is not a number")
    if fault["at_s"] is None:
        add_error(f"--fault {arg}: at_s is missing")
    return fault


def fault_scenarios(site, rng):
    """Returns fault scenarios by name.  Each is a function that returns the scenario's faults
    if it starts at second t.  Durations are drawn at random, as multiples of the site's settings."""
    workers = site["workers"]
    lease, cancel = workers["lease_s"], workers["cancel_s"]
    machines = sum(pool.get("count", 0) for pool in site.get("capacity", []))
    zone = rng.choice(site["nodes"]["zones"])
    busiest = {"count": 1, "busiest": True}
    duration = lambda longest, min_share=0.4: round(longest * rng.uniform(min_share, 1.0), 1)
    refuse_state = lambda t, for_s: {"at_s": t, "kind": "node_cut", **busiest, "from_state": True, "for_s": for_s, "mode": "refuse"}
    return {
        "late_writes": lambda t: [{"at_s": t, "kind": "late_writes", "share": 0.3, "for_s": duration(lease * 2)}],
        "late_reports": lambda t: [{"at_s": t, "kind": "late_reports", "share": 0.3, "for_s": duration(lease * 2)}],
        "deaf": lambda t: [
            {"at_s": t, "kind": "machine_deaf", "count": max(machines // 8, 1), "for_s": duration(lease * 1.5)}
        ],
        "apart": lambda t: [
            {"at_s": t, "kind": "node_cut", **busiest, "from_state": True, "from_peers": True, "for_s": duration(lease * 2), "mode": "hold"}
        ],
        "refused_then_out": lambda t: [
            refuse_state(t, 3.0),
            {"at_s": t + 3.0, "kind": "state_outage", "for_s": round(cancel * 1.2, 1)},
        ],
        "refused": lambda t: [refuse_state(t, duration(lease * 2))],
        "outage": lambda t: [{"at_s": t, "kind": "state_outage", "for_s": duration(lease)}],
        "crash": lambda t: [{"at_s": t + n * 1.5, "kind": "node_crash", **busiest} for n in range(3)],
        "all_crash": lambda t: [{"at_s": t, "kind": "node_crash", "count": site["nodes"]["count"], "busiest": True}],
        "zone_cut": lambda t: [{"at_s": t, "kind": "zone_cut", "zone": zone, "for_s": duration(cancel, 0.8), "mode": "hold"}],
        "hang": lambda t: [
            {"at_s": t, "kind": "machine_hang", "count": max(machines // 12, 1), "for_s": duration(lease * 1.2)}
        ],
        "freeze": lambda t: [{"at_s": t, "kind": "node_freeze", **busiest, "for_s": duration(lease)}],
        "no_cloud": lambda t: [{"at_s": t, "kind": "cloud_outage", "for_s": duration(cancel)}],
        "lost_answers": lambda t: [
            {"at_s": t, "kind": "late_writes", "share": 0.3, "for_s": duration(lease * 2), "at_once": True}
        ],
        "reports_for_next": lambda t: [
            {"at_s": t, "kind": "late_reports", "share": 0.3, "for_s": duration(lease * 2), "for_next": True}
        ],
        "mute": lambda t: [
            {"at_s": t, "kind": "machine_mute", "count": max(machines // 8, 1), "for_s": duration(lease * 1.5)}
        ],
        "cancel_now": lambda t: [
            {"at_s": round(t + n * lease / 3, 1), "kind": "cancel_now", "count": 12, "hang_s": duration(lease * 1.5)}
            for n in range(4)
        ],
        "cancel_at_end": lambda t: [{"at_s": t, "kind": "cancel_at_end", "share": 0.5, "for_s": duration(cancel * 2)}],
        "odd": lambda t: [{"at_s": t, "kind": "odd_requests", "for_s": duration(cancel * 2)}],
        "close_looks": lambda t: [{"at_s": t, "kind": "close_looks", "for_s": duration(cancel * 2)}],
        "refused_cancel": lambda t: [
            refuse_state(t, 1.0),
            {"at_s": t, "kind": "cancel_now", "count": 12, "hang_s": 0.0},
            {"at_s": t + 1.0, "kind": "state_outage", "for_s": round(cancel * 1.2, 1)},
        ],
        "ten_leaders": lambda t: [{"at_s": t + n * 12.0, "kind": "node_crash", **busiest} for n in range(10)],
        "all_away": lambda t: [
            {"at_s": t, "kind": "node_down", "count": site["nodes"]["count"], "busiest": True, "for_s": round(lease * 1.2, 1)}
        ],
    }


def paired_days(site, rng):
    """Returns a day for each pair of fault scenarios.  The second starts up to 12 s after the first, so
    that they usually overlap."""
    at = round(site.get("warmup_s", 0.0) + 30.0, 1)
    days = []
    names = list(fault_scenarios(site, rng))
    for first, second in itertools.combinations(names, 2):
        scenarios = fault_scenarios(site, rng)
        both = scenarios[first](at) + scenarios[second](round(at + rng.uniform(0.0, 12.0), 1))
        days.append({"name": f"{first}-{second}", "slot": "scale", "light": False, "seed": rng.randrange(10**6), "faults": both})
    return days


def combined_day(site, names, rng, seed_offset):
    """Returns a day with the named fault scenarios.  The others start up to 12 s after the first, so
    that they usually overlap."""
    at = round(site.get("warmup_s", 0.0) + 30.0, 1)
    scenarios = fault_scenarios(site, rng)
    for name in names:
        if name not in scenarios:
            add_error(f"--meet {','.join(names)}: unknown fault scenario {name}; known: {' '.join(scenarios)}")
    starts = [at] + [round(at + rng.uniform(0.0, 12.0), 1) for _ in names[1:]]
    faults = [fault for name, t in zip(names, starts) if name in scenarios for fault in scenarios[name](t)]
    faults.sort(key=lambda fault: fault["at_s"])
    return {"name": "-".join(names), "slot": "scale", "light": False, "seed": rng.randrange(10**6) + seed_offset, "faults": faults}


def main():
    parser = argparse.ArgumentParser(add_help=True, description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--size", type=float, default=1.0)
    parser.add_argument("--restart-delay", type=float)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--duration", type=float)
    for flag in ("--run", "--cancelled", "--rate", "--tasks", "--crash", "--cut", "--fault"):
        parser.add_argument(flag, action="append", default=[])
    parser.add_argument("--limits", type=float, default=1.0)
    parser.add_argument("--day")
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--only-pairs", action="store_true")
    parser.add_argument("--meet", action="append", default=[])
    args = parser.parse_args()
    if not 0 < args.size <= 100:
        add_error(f"--size {args.size}: must be above 0 and at most 100")
    if args.restart_delay is not None and not 0 <= args.restart_delay <= 3600:
        add_error(f"--restart-delay {args.restart_delay}: must be 0 to 3600 seconds")
    if args.duration is not None and not 0 < args.duration <= 36000:
        add_error(f"--duration {args.duration}: must be above 0 and at most 36000 seconds")
    if not 0 < args.limits <= 100:
        add_error(f"--limits {args.limits}: must be above 0 and at most 100")
    run_factors = [parse_class_number(arg, "--run") for arg in args.run]
    rate_factors = [parse_class_number(arg, "--rate") for arg in args.rate]
    task_counts = [parse_class_number(arg, "--tasks") for arg in args.tasks]
    for arg, (_, count) in zip(args.tasks, task_counts):
        if count < 1 or count != int(count):
            add_error(f"--tasks {arg}: must be a whole number of 1 or more")
    cancelled_shares = [parse_class_number(arg, "--cancelled") for arg in args.cancelled]
    added_faults = [parse_fault(arg) for arg in args.fault]
    for crash in args.crash:
        numbers = parse_numbers(crash, 2, 4)
        if numbers and len(numbers) == 3:
            add_error(f"--crash {crash}: must be AT:COUNT or AT:COUNT:EVERY:TIMES")
        elif numbers:
            at, count, every, times = (numbers + [0.0, 1.0])[:4]
            for n in range(int(times)):
                added_faults.append({"at_s": at + n * every, "kind": "node_crash", "count": int(count), "busiest": True})
    for cut in args.cut:
        if numbers := parse_numbers(cut, 2, 2):
            at, duration = numbers
            fault = {"kind": "node_cut", "count": 1, "busiest": True, "from_state": True}
            added_faults.append({"at_s": at, **fault, "for_s": duration, "mode": "hold"})
    try:
        site = tomllib.loads(args.site.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        add_error(f"{args.site}: {error}")
        exit_on_errors()
    if "nodes" not in site or "day" not in site:
        add_error(f"{args.site}: not a site file: [nodes] or [[day]] is missing")
    classes = [work.get("name") for work in site.get("jobs", [])]
    for name, _ in run_factors + cancelled_shares + rate_factors + task_counts:
        if name not in [*classes, "*"]:
            add_error(f"{name}: not a class of {args.site.name}; its classes are {' '.join(classes)}")
    zones = site.get("nodes", {}).get("zones", [])
    for fault in filter(None, added_faults):
        if fault.get("zone", zones and zones[0]) not in zones:
            add_error(f"{fault['zone']}: not a zone of {args.site.name}; its zones are {' '.join(zones)}")
        if fault.get("class", classes and classes[0]) not in classes:
            add_error(f"{fault['class']}: not a class of {args.site.name}; its classes are {' '.join(classes)}")
    exit_on_errors()
    combined_days = [
        combined_day(site, names.split(","), random.Random(f"{args.seed or 0} {names}"), seed_offset)
        for seed_offset, names in enumerate(args.meet)
    ]
    exit_on_errors()
    scale_site(site, args.size)
    for team in site.get("teams", []):
        for key in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if key in team:
                team[key] *= args.limits
    if args.restart_delay is not None:
        site["nodes"]["restart_delay_s"] = args.restart_delay
    if args.duration is not None:
        site["duration_s"] = args.duration
    for work in site.get("jobs", []):
        for name, factor in run_factors:
            if name in (work["name"], "*"):
                work["run_s"] = {key: value * factor for key, value in work["run_s"].items()}
        for name, factor in rate_factors:
            if name in (work["name"], "*") and "rate" in work.get("arrivals", {}):
                work["arrivals"]["rate"] *= factor
        for name, count in task_counts:
            if name in (work["name"], "*"):
                work["tasks"] = {"sizes": [int(count)], "weights": [1.0]}
        for name, share in cancelled_shares:
            if name in (work["name"], "*"):
                work["cancelled"] = share
    if args.day:
        site["day"] = [{"name": args.day, "slot": "scale", "light": False, "seed": 100}]
    for index, day in enumerate(site["day"]):
        day["faults"] = sorted(day.get("faults", []) + added_faults, key=lambda fault: fault["at_s"])
        if args.seed is not None:
            day["seed"] = args.seed + index
    if args.pairs or args.only_pairs and not args.meet:
        pair_days = paired_days(site, random.Random(args.seed or 0))
        site["day"] = pair_days if args.only_pairs else site["day"] + pair_days
    if args.meet:
        site["day"] = ([] if args.only_pairs else site["day"]) + combined_days
    if args.seed is not None:
        site["seed"] = args.seed
    if (args.out / args.site.name).resolve() == args.site.resolve():
        add_error(f"{args.out}: is the folder of the original site file; name another one")
        exit_on_errors()
    try:
        args.out.mkdir(parents=True, exist_ok=True)
        path = args.out / args.site.name
        path.write_text(toml_document(site))
        wire_file = args.site.parent / site.get("wire", "wire.json")
        if wire_file.exists():
            shutil.copyfile(wire_file, args.out / wire_file.name)
    except OSError as error:
        add_error(error)
        exit_on_errors()
    print(path)


if __name__ == "__main__":
    main()
