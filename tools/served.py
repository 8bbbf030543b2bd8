#!/usr/bin/env python3
"""Reads reports of the bench (`run ... --report FILE`) and prints a row each:
rules broken, ends of controllers that no fault explains, the least share of any
class, of any team and of any class's largest jobs (begun within four minutes) that
was served, the jobs left waiting beside room that fits them, what the bench counts
besides (starts after a confirmed cancellation, jobs accepted though they can't run),
the users who asked in vain, the most memory, sockets and processor.  A report without
one of these has `-` there, and does not fail for it.

    served.py REPORT...

The share of a class is of its jobs that were done, of services the time that
their replicas were up; jobs that were cancelled are left out.  Exit code 1 if a
day is failed: a rule broken, a controller that ended by itself, less than half of a
class, a team or a class's largest jobs served, a job left waiting, or anything counted
besides; 2: bad input.
"""

import json
import pathlib
import sys


def fail(why):
    print(f"served.py: {why}", file=sys.stderr)
    sys.exit(2)


def share(c):
    if c.get("up") is not None:
        return c["up"]
    due = max(c["jobs"] - c["cancelled"], 0)
    return min(c["done"] / due, 1.0) if due else 1.0


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        print(__doc__, file=sys.stderr)
        sys.exit(2)
    failed = False
    print(f"{'report':44} rules ends  class served            team  largest  left counted in_vain   MB  sockets processor")
    for name in sys.argv[1:]:
        try:
            r = json.loads(pathlib.Path(name).read_text())
            rules = r["rules_broken"]["total"]
            stats = r["node_stats"]
            ends = sum(x["why"] not in ("fault", "upgrade") for n in stats for x in n["restarts"])
            least = min(((share(c), k) for k, c in r["classes"].items()), default=(1.0, "-"))
            team = min((t["started"] / t["jobs"] for t in r["teams"].values() if t["jobs"]), default=1.0)
            largest = min((x["started"] / x["jobs"] for x in r.get("largest", {}).values() if x["jobs"]), default=None)
            left, slips = r.get("idle", {}).get("neglected"), r.get("idle", {}).get("slips")
            counted = None if slips is None else sum(slips.values())
            vain = r.get("users", {}).get("asked_in_vain")
            most = lambda key: max(n[key] for n in stats)
            memory, sockets, cpu = most("memory_peak_mb"), most("connections_peak"), most("cpu_mean")
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as e:
            fail(f"{name}: not a report: {e!r}")
        bad = rules or ends or least[0] < 0.5 or team < 0.5 or (largest is not None and largest < 0.5) or left or counted
        failed |= bool(bad)
        kinds = " ".join(f"{k} {n}" for k, n in [*r["rules_broken"]["by_kind"].items(), *(slips or {}).items()])
        told = lambda n: "-" if n is None else n
        print(
            f"{pathlib.Path(name).stem:44} {rules:5} {ends:4}  {least[0]:.3f} {least[1]:16} {team:.3f} "
            f"{'-' if largest is None else format(largest, '.3f'):>7} {told(left):>5} "
            f"{told(counted):>7} {told(vain):>7} {memory:5.0f} {sockets:8} {cpu:.2f}  {'FAILED ' + kinds if bad else ''}"
        )
    sys.exit(failed)


if __name__ == "__main__":
    main()
