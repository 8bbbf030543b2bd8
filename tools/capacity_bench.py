#!/usr/bin/env python3
"""Adds the result of one simulated day to the bench rows of the capacity page.

usage: capacity_bench.py ROWS.json CODE TIMES TEAMS REPORT.json JOURNAL_ENTRY.json

ROWS           rows of the page; the file is created if it does not exist, and an
               earlier row of the same journal entry is replaced
CODE           name under which the page lists the version of the sources that ran
TIMES          factor by which the machines and traffic of the site were multiplied
TEAMS          number of teams
REPORT         report that the bench wrote with `run --report`
JOURNAL_ENTRY  journal entry of the run
"""
import json, os, sys

def bench_row(code, times, teams, report, entry):
    day = entry["days"][0]
    controllers = sorted(report["node_stats"], key=lambda controller: -controller["cpu_mean"])
    other_means = [controller["cpu_mean"] for controller in controllers[1:]]
    served = day["served"]
    class_shares = [item[2] for item in served if " " not in item[0]]
    team_shares = [item[2] for item in served if item[0].startswith("team ")]
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
        "least_class": min(class_shares, default=0.0),
        "least_team": min(team_shares, default=0.0),
        "busiest_mean": controllers[0]["cpu_mean"],
        "busiest_peak": max(controller["cpu_peak"] for controller in controllers),
        "others_mean": round(sum(other_means) / max(len(other_means), 1), 3),
        "connections": max(controller["connections_peak"] for controller in controllers),
        "state_requests": round(state["requests"] / report["ends_s"], 1),
        "state_refused": state["refused"],
        "started": fleet["tasks_started"],
        "killed": fleet["tasks_killed_by_lease"],
        "accept_p95_s": round((users["submit_ms"]["p95"] or 0.0) / 1000, 2),
        "broken": report["rules_broken"]["total"],
        "journal": entry["id"],
    }

def main():
    rows_file, code, times, teams, report_file, entry_file = sys.argv[1:]
    rows = json.load(open(rows_file)) if os.path.exists(rows_file) else []
    new_row = bench_row(code, float(times), int(teams), json.load(open(report_file)), json.load(open(entry_file)))
    rows = [row for row in rows if row["journal"] != new_row["journal"]] + [new_row]
    rows.sort(
        key=lambda row: (row["site"], row["times"], row["controllers"], row["teams"], row["day"], row["code"])
    )
    with open(rows_file, "w") as out:
        json.dump(rows, out, indent=1)
        out.write("\n")

main()
