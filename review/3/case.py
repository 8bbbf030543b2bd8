"""A spot machine is taken back; the job that ran on it then holds room that it can never use."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import cluster  # noqa: E402
import wire  # noqa: E402

WAIT_S = 90.0  # bound of the rule
ORDINARY = ("menhir-small", cluster.ZONES[0], False)
SPOT = ("menhir-small", cluster.ZONES[1], True)

# the classes of the build farm, with the sizes of the brief
READER = {"lane": "meter-reader", "shape": "standing", "rank": "production", "cpus": 5.0, "accelerators": 1.0,
          "memGb": 19.0, "bundle": "reader", "spread": True, "driftwood": False, "expectS": 0.0}
RETRAIN = {"lane": "model-retrain", "shape": "group", "rank": "high", "cpus": 14.0, "accelerators": 2.0,
           "memGb": 51.0, "bundle": "retrain", "oneZone": True, "driftwood": True, "expectS": 120.0,
           "markEveryS": 15.0, "markTakesS": 4.0}
SNAPSHOT = {"lane": "ui-snapshots", "shape": "batch", "rank": "normal", "cpus": 6.0, "accelerators": 1.0,
            "memGb": 24.0, "bundle": "snapshot", "driftwood": True, "expectS": 60.0, "markEveryS": 20.0,
            "markTakesS": 2.0}


async def case(c, trouble):
    platform = c.platform
    if not await c.submit(c.job(1, **READER)):
        raise cluster.CannotRun("the service was not accepted")
    await c.until(lambda: "j-000001/0" in platform.started, 20, "the service runs")
    if not await c.submit(c.job(2, **RETRAIN)):
        raise cluster.CannotRun("the large job was not accepted")
    await c.until(lambda: "j-000002/0" in platform.started, 20, "the large job runs")
    keeper = next(w for w in platform.workers.values() if "j-000001/0" in w.pieces)
    taken = next(w for w in platform.workers.values() if "j-000002/0" in w.pieces)
    if keeper is taken or not taken.driftwood:
        raise cluster.CannotRun("the large job is not alone on the spot machine")
    poller = wire.Client(c.users)

    async def until_stage(stage, limit_s):
        """Waits until four answers in a row name this stage: the stage may lag by up to 3 s."""
        end, in_a_row = time.monotonic() + limit_s, 0
        while in_a_row < 4:
            if time.monotonic() > end:
                raise cluster.CannotRun(f"the large job is not {stage}")
            _, _, answer = await c.ask(poller, "GET", "/v2/runs/j-000002", None, 2.0)
            in_a_row = in_a_row + 1 if isinstance(answer, dict) and answer.get("stage") == stage else 0
            await asyncio.sleep(0.5)

    await until_stage("running", 10)
    if trouble:
        c.note("TROUBLE: the cloud takes the spot machine back, without notice", machine=taken.name)
        platform.capacity[SPOT] = 0
        platform.rented.pop(taken.name)
        platform.workers.pop(taken.name)
        taken.remove()
        # the large job waits again, for a machine that the cloud does not have
        await until_stage("pending", 20)
    if not await c.submit(c.job(3, **SNAPSHOT)):
        raise cluster.CannotRun("the small job was not accepted")
    accepted_at = time.monotonic()
    c.note("the small job is accepted", fits_on=keeper.name, free_cpus=16 - 5, free_gpus=2 - 1, free_gb=64 - 19)
    while "j-000003/0" not in platform.started:
        await asyncio.sleep(0.5)
        if int(time.monotonic() * 2) % 10 == 0:
            await c.ask(poller, "GET", "/v2/runs/j-000003", None, 2.0)
        if keeper.gone or keeper.tenure != 1 or [p for p in keeper.pieces] != ["j-000001/0"]:
            if "j-000003/0" not in platform.started:
                raise cluster.CannotRun("the other machine did not stay as it was")
        if time.monotonic() - accepted_at > WAIT_S:
            return [f"j-000003 waited for {WAIT_S:.0f} s; {keeper.name} ran one task of 5 of 16 CPUs all this time"]
    c.note("the small job starts", after_s=round(time.monotonic() - accepted_at, 1))
    return []


cluster.run(FOLDER, case, capacity={ORDINARY: 1, SPOT: 1},
            teams=[{"name": "equipe-forge", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 16.0}])
