#!/usr/bin/env python3
"""Reads reports of the bench (`run ... --report FILE`) and prints one row for each.

    served.py REPORT...

The columns are:

rules      number of protocol violations
ends       number of controller exits that no fault or upgrade explains
class      lowest share served of any class, and the name of the class
team       lowest share of started jobs of any team
largest    lowest share of a class's largest jobs that started within four minutes
left       number of jobs left waiting although there was room that fits them
counted    number of other mistakes that the bench counts: starts after a confirmed
           cancellation, and accepted jobs that cannot run
in_vain    number of users who asked in vain, as the bench counts them
MB         highest peak memory of a controller
sockets    highest peak number of connections of a controller
processor  highest mean processor use of a controller

A value that a report lacks is printed as `-` and does not make the report fail.  The share of a class
is the share of its jobs that were done, without the cancelled ones, or for services the
share of the time that their replicas were up.

Exit code 1: a report failed, because of a protocol violation, an unexplained controller
exit, a share below one half of a class, a team or a class's largest jobs, a job left
waiting, or another counted mistake.  Exit code 2: invalid input.
"""

import json
import pathlib
import sys


def exit_with_error(message):
    print(f"served.py: {message}", file=sys.stderr)
    sys.exit(2)


def served_share(stats):
    """Returns the share of a class that was served, from 0 to 1."""
    if stats.get("up") is not None:
        return stats["up"]
    expected = max(stats["jobs"] - stats["cancelled"], 0)
    return min(stats["done"] / expected, 1.0) if expected else 1.0


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        print(__doc__, file=sys.stderr)
        sys.exit(2)
    any_failed = False
    print(f"{'report':44} rules ends  class served            team  largest  left counted in_vain   MB  sockets processor")
    for name in sys.argv[1:]:
        try:
            report = json.loads(pathlib.Path(name).read_text())
            rules = report["rules_broken"]["total"]
            controllers = report["node_stats"]
            ends = sum(
                restart["why"] not in ("fault", "upgrade")
                for controller in controllers
                for restart in controller["restarts"]
            )
            lowest_class = min(
                ((served_share(stats), class_name) for class_name, stats in report["classes"].items()),
                default=(1.0, "-"),
            )
            team = min(
                (stats["started"] / stats["jobs"] for stats in report["teams"].values() if stats["jobs"]), default=1.0
            )
            largest = min(
                (stats["started"] / stats["jobs"] for stats in report.get("largest", {}).values() if stats["jobs"]),
                default=None,
            )
            left_waiting, mistakes = report.get("idle", {}).get("neglected"), report.get("idle", {}).get("slips")
            mistake_count = None if mistakes is None else sum(mistakes.values())
            unanswered_users = report.get("users", {}).get("asked_in_vain")
            highest = lambda key: max(controller[key] for controller in controllers)
            memory, sockets, cpu = highest("memory_peak_mb"), highest("connections_peak"), highest("cpu_mean")
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            exit_with_error(f"{name}: cannot be read as a report of the bench: {error!r}")
        failed = (
            rules
            or ends
            or lowest_class[0] < 0.5
            or team < 0.5
            or (largest is not None and largest < 0.5)
            or left_waiting
            or mistake_count
        )
        any_failed |= bool(failed)
        kinds = " ".join(
            f"{kind} {count}"
            for kind, count in [*report["rules_broken"]["by_kind"].items(), *(mistakes or {}).items()]
        )
        or_dash = lambda value: "-" if value is None else value
        print(
            f"{pathlib.Path(name).stem:44} {rules:5} {ends:4}  {lowest_class[0]:.3f} {lowest_class[1]:16} {team:.3f} "
            f"{'-' if largest is None else format(largest, '.3f'):>7} {or_dash(left_waiting):>5} "
            f"{or_dash(mistake_count):>7} {or_dash(unanswered_users):>7} {memory:5.0f} {sockets:8} {cpu:.2f}  {'FAILED ' + kinds if failed else ''}"
        )
    sys.exit(any_failed)


if __name__ == "__main__":
    main()
