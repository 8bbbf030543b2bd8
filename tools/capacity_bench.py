#!/usr/bin/env python3
"""Adds a played day to the bench's rows of the capacity page.
usage: capacity_bench.py ROWS.json CODE TIMES TEAMS REPORT.json JOURNAL_ENTRY.json
CODE: what the page calls the sources that were played.  REPORT: of `run --report`."""
import json, os, sys

def row(code, times, teams, report, entry):
    day = entry["days"][0]
    nodes = sorted(report["node_stats"], key=lambda n: -n["cpu_mean"])
    others = [n["cpu_mean"] for n in nodes[1:]]
    served = day["served"]
    plain = [s[2] for s in served if " " not in s[0]]
    team = [s[2] for s in served if s[0].startswith("team ")]
    users, fleet, state = report["users"], report["fleet"], report["state"]
    return {
        "site": entry["site"].removesuffix("-target"),
        "times": times,
        "controllers": report["nodes"],
        "teams": teams,
        "day": report["scenario"],
        "code": code,
        "machines": report["machines"],
        "figure": round(day["score"], 3),
        "least_class": min(plain, default=0.0),
        "least_team": min(team, default=0.0),
        "busiest_mean": nodes[0]["cpu_mean"],
        "busiest_peak": max(n["cpu_peak"] for n in nodes),
        "others_mean": round(sum(others) / max(len(others), 1), 3),
        "connections": max(n["connections_peak"] for n in nodes),
        "state_requests": round(state["requests"] / report["ends_s"], 1),
        "state_refused": state["refused"],
        "started": fleet["tasks_started"],
        "killed": fleet["tasks_killed_by_lease"],
        "accept_p95_s": round((users["submit_ms"]["p95"] or 0.0) / 1000, 2),
        "broken": report["rules_broken"]["total"],
        "journal": entry["id"],
    }

def main():
    rows, code, times, teams, report, entry = sys.argv[1:]
    all_rows = json.load(open(rows)) if os.path.exists(rows) else []
    new = row(code, float(times), int(teams), json.load(open(report)), json.load(open(entry)))
    all_rows = [r for r in all_rows if r["journal"] != new["journal"]] + [new]
    all_rows.sort(key=lambda r: (r["site"], r["times"], r["controllers"], r["teams"], r["day"], r["code"]))
    with open(rows, "w") as out:
        json.dump(all_rows, out, indent=1)
        out.write("\n")

main()
