"""Stand-in workers: one per machine, as the protocol page describes them."""
import asyncio
import random
import time

from wire import Connection, serve


class Pool:
    """What all workers share: the jobs' descriptions, kept results and the log of tasks on machines."""

    def __init__(self, times, nodes, record):
        # times: the settings' [deployment.workers]; nodes: {name: port}
        self.times, self.nodes, self.record = times, nodes, record
        self.specs, self.run_s, self.results, self.workers = {}, {}, set(), {}
        self.stays = []  # [piece, machine, start, end or None]
        self.gangs = {}  # (job, try) -> Gang

    def on_machine(self, piece, machine):
        stay = [piece, machine, time.monotonic(), None]
        self.stays.append(stay)
        self.record("worker", machine, "starts", piece)
        return stay

    def starts_of(self, job):
        return [s for s in self.stays if s[0].split("/")[0] == job]

    async def up(self, name, machine, hulls):
        hull = next(h for h in hulls if h["label"] == machine["hull"])
        worker = Worker(self, name, machine, hull)
        await worker.start()
        self.workers[name] = worker
        return worker.address

    def gone(self, name):
        worker = self.workers.pop(name, None)
        if worker:
            worker.stop()


class Gang:
    """One attempt of a gang: its members find one another, start together and complete together."""

    def __init__(self, pieces):
        self.pieces, self.members, self.runs = pieces, {}, False  # piece -> (worker, key)

    def gather(self, worker, key):
        self.members[key[0]] = (worker, key)
        if len(self.members) == self.pieces and not self.runs:
            self.runs = True
            for w, k in self.members.values():
                w.tasks[k]["stage"] = "running"
                w.tasks[k]["go"].set()
                w.change()

    def lost(self, key, peer_s):
        if self.members.pop(key[0], None) and self.runs:
            for w, k in list(self.members.values()):
                asyncio.get_event_loop().call_later(peer_s * 0.5, w.end, k, "mates_gone")


class Worker:
    def __init__(self, pool, name, machine, hull):
        self.pool, self.name, self.machine, self.hull = pool, name, machine, hull
        self.tenure, self.tally, self.baton, self.warning_at = 1, 0, 0, None
        self.tasks, self.images = {}, {}  # (piece, try) -> dict; image -> future time or None
        self.sick = self.dead = False
        self.renewed = time.monotonic()
        self.changed = asyncio.Event()
        self.baton_told = 0.0

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = "127.0.0.1:%d" % port
        self.loops = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]

    def stop(self):
        """The machine is gone, with all that is on it."""
        self.dead = True
        self.server.close()
        for loop in self.loops:
            loop.cancel()
        for key in list(self.tasks):
            self.leave(key)
        self.tasks.clear()

    # ---- tasks
    def free(self):
        used = [0.0, 0.0, 0.0]
        for task in self.tasks.values():
            if task["stage"] != "ended":
                s = task["spec"]
                used = [used[0] + s["cpus"], used[1] + s["accelerators"], used[2] + s["memGb"]]
        return [self.hull["cpus"] - used[0], self.hull["accelerators"] - used[1], self.hull["memGb"] - used[2]]

    def change(self):
        self.changed.set()

    def end(self, key, cause, saved=None):
        task = self.tasks.get(key)
        if not task or task["stage"] == "ended":
            return
        self.leave(key)
        task["stage"], task["cause"] = "ended", cause
        if saved is not None:
            task["saved"] = saved
        self.pool.record("worker", self.name, "ended", key[0], "try", key[1], cause)
        if cause == "done":
            self.pool.results.add(key[0])
        self.change()

    def leave(self, key):
        task = self.tasks.get(key)
        if task:
            if task.get("life") and task["life"] is not asyncio.current_task():
                task["life"].cancel()
            if task.get("stay") and task["stay"][3] is None:
                task["stay"][3] = time.monotonic()
            gang = task.pop("gang", None)
            if gang and not task.get("complete"):
                gang.lost(key, self.pool.times["gang_peer_s"])

    def run(self, piece, attempt):
        if self.dead:
            return
        key = (piece, attempt)
        if key in self.tasks:
            return
        spec = self.pool.specs.get(piece.split("/")[0])
        task = {"spec": spec, "stage": "pulling", "cause": None, "stay": None, "life": None}
        refused = None
        if spec is None:
            refused = "no_such"
        elif any(p == piece and t["stage"] != "ended" for (p, _), t in self.tasks.items()):
            refused = "busy"
        elif any(f + 1e-9 < n for f, n in zip(self.free(), (spec["cpus"], spec["accelerators"], spec["memGb"]))):
            refused = "no_room"
        self.tasks[key] = task
        if refused:
            task["stage"], task["cause"] = "ended", refused
            task["spec"] = spec or {"cpus": 0, "accelerators": 0, "memGb": 0}
            self.pool.record("worker", self.name, "refuses", piece, refused)
        else:
            task["life"] = asyncio.ensure_future(self.live(key, task, spec))
        self.change()

    async def live(self, key, task, spec):
        image = spec["bundle"]
        if image not in self.images:
            self.images[image] = time.monotonic() + spec["sizeGb"] / self.hull["fetchGbPerS"]
        await asyncio.sleep(max(0.0, self.images[image] - time.monotonic()))
        if key[0] in self.pool.results:
            return self.end(key, "done")
        task["stay"] = self.pool.on_machine(key[0], self.name)
        if spec["shape"] == "group":
            gang = self.pool.gangs.setdefault((key[0].split("/")[0], key[1]), Gang(spec["pieces"]))
            task["stage"], task["go"], task["gang"] = "gathering", asyncio.Event(), gang
            self.change()
            gang.gather(self, key)
            try:
                await asyncio.wait_for(task["go"].wait(), self.pool.times["gang_wait_s"])
            except (asyncio.TimeoutError, TimeoutError):
                return self.end(key, "alone")
        task["stage"] = "running"
        self.change()
        if self.sick:
            await asyncio.sleep(0.3)
            return self.end(key, "error")
        if spec["shape"] == "standing":
            return
        await asyncio.sleep(self.pool.run_s.get(key[0].split("/")[0], spec["expectS"]))
        if spec["shape"] == "group":
            for w, k in list(task["gang"].members.values()):
                w.tasks[k]["complete"] = True
                if k != key:
                    w.end(k, "done")
        self.end(key, "done")

    def obey(self, orders):
        for o in orders or []:
            key = (o["piece"], o["try"])
            if o["verb"] == "run":
                self.run(*key)
            elif o["verb"] == "reap":
                if key in self.tasks and self.tasks[key]["stage"] == "ended":
                    del self.tasks[key]
                    self.change()
            elif o["verb"] == "halt":
                task = self.tasks.get(key)
                if not task or task["stage"] == "ended":
                    continue
                spec, grace = task["spec"], o.get("windDownS") or 0
                if task["stage"] == "running" and spec["markEveryS"] > 0 and grace >= spec["markTakesS"]:
                    self.leave_life(task)
                    task["stage"] = "flushing"
                    task["life"] = asyncio.ensure_future(self.flush(key, spec["markTakesS"]))
                    self.change()
                elif task["stage"] == "flushing" and grace > 0:
                    pass
                else:
                    self.end(key, "stopped")

    def leave_life(self, task):
        if task["life"]:
            task["life"].cancel()

    async def flush(self, key, takes):
        await asyncio.sleep(takes)
        self.end(key, "stopped", True)

    # ---- reports
    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), t in self.tasks.items():
            p = {"piece": piece, "try": attempt, "stage": t["stage"]}
            if t["stage"] == "ended":
                p["cause"] = t["cause"]
                if "saved" in t:
                    p["saved"] = t["saved"]
            pieces.append(p)
        warning = None if self.warning_at is None else max(0.0, self.warning_at - time.monotonic())
        m = self.machine
        return {"polyp": self.name, "address": self.address, "hull": m["hull"], "bay": m["bay"], "driftwood": m["driftwood"], "tenure": self.tenure, "tally": self.tally, "baton": self.baton, "warningS": warning, "pieces": pieces}

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() - self.baton_told > self.pool.times["lease_s"] / 2:
                self.baton_told = time.monotonic()
                self.change()

    async def handle(self, method, path, q, body):
        if self.dead:
            return None
        if path == "/status":
            return 200, self.report()
        if path != "/commands" or body is None or "baton" not in body or "tenure" not in body:
            return 400, {"error": "malformed"}
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return 409, self.report()
        self.see(body["baton"])
        self.obey(body.get("orders"))
        return 200, self.report()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.2)
            if time.monotonic() - self.renewed > self.pool.times["lease_s"]:
                for key in list(self.tasks):
                    self.leave(key)
                self.tasks.clear()
                self.pool.record("worker", self.name, "lease expired")
                self.tenure += 1
                self.renewed = time.monotonic()
                self.change()

    async def report_loop(self):
        names = sorted(self.pool.nodes)
        at = random.randrange(len(names))
        link = Connection(self.pool.nodes[names[at]])
        while True:
            self.changed.clear()
            tenure, sent = self.tenure, time.monotonic()
            status, answer = await link.call("POST", "/hello", self.report(), 4.0)
            if tenure == self.tenure and status == 200 and answer.get("baton") is not None and answer["baton"] >= self.baton:
                self.renewed = max(self.renewed, sent)
                self.see(answer["baton"])
                self.obey(answer.get("orders"))
            if status == 200:
                wait = self.pool.times["report_s"] * random.uniform(0.75, 1.25)
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except (asyncio.TimeoutError, TimeoutError):
                    pass
                await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - sent)))
                continue
            link.close()
            to = answer.get("answerTo") if status == 421 and isinstance(answer, dict) else None
            if to in self.pool.nodes and to != names[at]:
                at = names.index(to)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                at = (at + 1) % len(names)
                await asyncio.sleep(1.0)
            link = Connection(self.pool.nodes[names[at]])
