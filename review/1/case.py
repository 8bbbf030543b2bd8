"""Users cancel builds while the state service is down; other jobs need these builds."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import cluster  # noqa: E402
import wire  # noqa: E402

BUILDS = int(os.environ.get("BUILDS", 140))  # jobs that their users cancel
SIGNED = 21  # jobs that need all of these builds
OUTAGE_S = 12.0
WAIT_S = 90.0  # bound of the rule
REPEAT_S = 60.0  # for how long a user repeats a request


async def case(c, trouble):
    await c.until(lambda: "chains" in c.state.keys.get("c2/w/gates", ({"on": []},))[0]["on"], 15,
                  "jobs may wait for others")
    # the only machine of the deployment is full, and another job waits for room on it
    if not await c.submit(c.job(900000, cpus=16.0, rank="high")):
        raise cluster.CannotRun("the first job was not accepted")
    await c.until(lambda: "j-900000/0" in c.platform.started, 20, "the first job runs")
    if not await c.submit(c.job(900001, cpus=2.0, rank="high")):
        raise cluster.CannotRun("the waiting job was not accepted")
    builds = [c.job(number, lane="lint-pass", rank="best_effort") for number in range(1, BUILDS + 1)]
    users = [wire.Client(c.users) for _ in builds]
    accepted = await asyncio.gather(*(c.submit(job, user) for job, user in zip(builds, users)))
    needs = [job["nameId"] for job in builds]
    signed = [c.job(500000 + number, lane="release-sign", awaits=needs) for number in range(SIGNED)]
    accepted += await asyncio.gather(*(c.submit(job) for job in signed))
    if not all(accepted):
        raise cluster.CannotRun("not all jobs were accepted")
    c.note("all jobs are accepted", leader=c.leader())

    if trouble:
        c.note("TROUBLE: the state service is down", for_s=OUTAGE_S)
        c.state.begin_outage()
    began = time.monotonic()
    cancels = []
    for job, user in zip(builds, users):
        cancels.append(asyncio.ensure_future(c.cancel(job["nameId"], user, REPEAT_S)))
        await asyncio.sleep(2.0 / BUILDS)
    c.note("every user has sent a cancellation", after_s=round(time.monotonic() - began, 1))
    await asyncio.sleep(max(began + OUTAGE_S - time.monotonic(), 0.0))
    c.state.end_outage()
    c.note("the state service answers")
    # the first job completes, which leaves the machine empty
    worker = next(iter(c.platform.workers.values()))
    worker.pieces["j-900000/0"]["until"] = time.monotonic()
    await c.until(lambda: "j-900000/0" in c.platform.ended, 5, "the first job completes")
    room_since = time.monotonic()
    c.note("the machine has room from now on")

    poller, longest, answered = wire.Client(c.users), 0.0, 0
    while "j-900001/0" not in c.platform.started and longest <= WAIT_S:
        await asyncio.sleep(0.5)
        if int(time.monotonic() * 2) % 10 == 0:
            await c.ask(poller, "GET", "/v2/runs/j-900001", None, 2.0)
        if any(state["stage"] != "ended" for state in worker.pieces.values()) or worker.tenure != 1:
            room_since = time.monotonic()  # something runs, so that the machine may have less room
        longest = time.monotonic() - room_since
    answered = sum(1 for task in cancels if task.done() and task.result())
    c.note("summary", waited_s=round(longest, 1), cancellations_sent=len(cancels),
           cancellations_confirmed=answered, state_service=c.state.counts)
    for task in cancels:
        task.cancel()
    if "j-900001/0" in c.platform.started:
        return []
    return [f"j-900001 waited for {longest:.0f} s while the only machine was empty; "
            f"{answered} of {len(cancels)} cancellations were confirmed"]


cluster.run(FOLDER, case)
