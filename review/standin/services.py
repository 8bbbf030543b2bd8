"""Stand-ins for the state service, the cloud, the workers and the load balancer."""

import asyncio
import json
import random
import time

import wire


class Bucket:
    """A rate limit with a burst of `burst_s` seconds."""

    def __init__(self, rate, burst_s):
        self.rate, self.burst = rate, rate * burst_s
        self.tokens, self.at = self.burst, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.tokens + (now - self.at) * self.rate, self.burst)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class State:
    """The state service.  Each controller has a port of its own, so that one alone can be refused."""

    KEPT_CHANGES = 10_000

    def __init__(self, limits):
        self.limits = limits
        self.keys = {}  # path -> (data, stamp, hold)
        self.leases = {}  # id -> [ttl, renewed_at]
        self.epoch, self.last_lease = 0, 0
        self.changes = []  # (epoch, path, data or None)
        self.requests, self.writes = Bucket(limits["rps"], 1.0), Bucket(limits["write_rps"], 1.0)
        self.out = False
        self.refused = set()  # controllers that alone get 503
        self.changed = asyncio.Event()
        self.counts = {}

    async def start(self, nodes):
        self.servers = []
        ports = []
        for node in range(nodes):
            server, port = await wire.serve(lambda m, p, q, b, n=node: self.handle(n, m, p, q, b))
            self.servers.append(server)
            ports.append(port)
        asyncio.ensure_future(self.expire())
        return ports

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.out:
                continue
            now = time.monotonic()
            for lease, (ttl, renewed_at) in list(self.leases.items()):
                if now - renewed_at > ttl + 0.02:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        paths = [path for path, (_, _, hold) in self.keys.items() if hold == lease]
        if paths:
            self.epoch += 1
        for path in paths:
            del self.keys[path]
            self.change(path, None)

    def change(self, path, data):
        self.changes.append((self.epoch, path, data))
        if len(self.changes) > self.KEPT_CHANGES:
            del self.changes[: len(self.changes) - self.KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    def begin_outage(self):
        self.out = True

    def end_outage(self):
        self.out = False
        now = time.monotonic()
        for lease in self.leases.values():
            lease[1] = now

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    async def handle(self, node, method, path, query, body):
        if self.out or node in self.refused:
            self.count("503")
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.count("429 requests")
            return 429, {"error": "too many requests"}
        query = dict(item.partition("=")[::2] for item in query.split("&") if item)
        if path == "/changes":
            return await self.watch(node, query)
        if path == "/txn":
            return self.txn(wire.unpack(body))
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            item = self.keys.get(path[4:])
            if item is None:
                return 404, {"epoch": self.epoch}
            return 200, {"path": path[4:], "data": item[0], "stamp": item[1], "hold": item[2]}
        if path == "/leases" and method == "POST":
            self.last_lease += 1
            self.leases[self.last_lease] = [wire.unpack(body)["ttlMs"] / 1000.0, time.monotonic()]
            return 200, {"hold": self.last_lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic()
            return 200, {"hold": lease}
        return 404, {"error": "no such path"}

    def list(self, query):
        under, since = query.get("under", ""), query.get("since", "")
        rows, size, truncated = [], 0, False
        for path in sorted(p for p in self.keys if p.startswith(under) and p > since):
            data, stamp, _ = self.keys[path]
            size += len(path) + len(json.dumps(data)) + 40
            if len(rows) >= min(int(query.get("page", 1000)), 1000) or size > 512 * 1024:
                truncated = True
                break
            rows.append({"path": path, "data": data, "stamp": stamp})
        return 200, {"rows": rows, "truncated": truncated, "epoch": self.epoch}

    async def watch(self, node, query):
        under, since = query.get("under", ""), int(query["since"])
        end = time.monotonic() + min(int(query.get("blockMs", 0)), 60_000) / 1000.0
        while True:
            if not self.out and node not in self.refused:
                if len(self.changes) >= self.KEPT_CHANGES and self.changes[0][0] > since + 1:
                    return 410, {"error": "too old"}
                news = []
                for epoch, path, data in reversed(self.changes):
                    if epoch <= since:
                        break
                    if path.startswith(under):
                        event = {"delete": path} if data is None else {"set": path, "data": data}
                        news.append({**event, "stamp": epoch})
                if news or time.monotonic() >= end:
                    return 200, {"epoch": max(self.epoch, since), "news": news[::-1]}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(max(end - time.monotonic(), 0.01), 0.2))
            except asyncio.TimeoutError:
                pass

    def txn(self, txn):
        guards, writes = txn.get("guards") or [], txn.get("writes") or []
        if len(writes) > self.limits["txn_ops"] or len(guards) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too large"}
        if len(json.dumps(txn)) > 64 * 1024:
            return 400, {"error": "too large"}
        for write in writes:
            if "set" in write:
                if len(json.dumps(write["data"])) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                if write.get("hold") is not None and write["hold"] not in self.leases:
                    return 400, {"error": "no such lease"}
        if writes and not self.writes.take(len(writes)):
            self.count("429 changes")
            return 429, {"error": "too many changes"}
        failed = [g["path"] for g in guards if self.keys.get(g["path"], (None, 0))[1] != g["stamp"]]
        if failed:
            self.count("txn 409")
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
        self.count("txn with writes" if writes else "txn that compares")
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["data"], self.epoch, write.get("hold"))
                self.change(write["set"], write["data"])
            elif self.keys.pop(write["delete"], None):
                self.change(write["delete"], None)
        return 200, {"epoch": self.epoch}


class Worker:
    """A worker: reports, lease, tokens, commands, images and independent tasks."""

    def __init__(self, platform, name, hull, bay, driftwood):
        self.platform, self.name, self.hull, self.bay, self.driftwood = platform, name, hull, bay, driftwood
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.pieces = {}  # piece -> dict
        self.images = set()
        self.began = time.monotonic()
        self.lease_from = self.began
        self.wake = asyncio.Event()
        self.node = random.randrange(len(platform.nodes))
        self.gone = False

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)
        self.tasks = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.run_loop())]

    def remove(self):
        self.gone = True
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for piece, state in self.pieces.items():
            if state["stage"] != "ended":
                self.platform.note("gone with machine", piece=piece, machine=self.name)
        self.pieces = {}

    def report(self):
        self.tally += 1
        pieces = []
        for piece, state in self.pieces.items():
            item = {"piece": piece, "try": state["try"], "stage": state["stage"]}
            if state["stage"] == "ended":
                item["cause"] = state["cause"]
            pieces.append(item)
        return {"polyp": self.name, "address": f"127.0.0.1:{self.port}", "hull": self.hull, "bay": self.bay,
                "driftwood": self.driftwood, "tenure": self.tenure, "tally": self.tally, "baton": self.baton,
                "warningS": None, "pieces": pieces}

    async def handle(self, method, path, query, body):
        if path == "/status":
            return 200, self.report()
        message = wire.unpack(body)
        if message.get("baton") is None or message.get("tenure") is None:
            return 400, {"error": "baton or tenure is missing"}
        if message["baton"] < self.baton or message["tenure"] != self.tenure:
            return 409, self.report()
        self.baton = message["baton"]
        self.execute(message["orders"])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            piece, attempt, state = order["piece"], order["try"], self.pieces.get(order["piece"])
            if order["verb"] == "run":
                if state is None:
                    self.begin(piece, attempt)
                elif state["try"] != attempt and state["stage"] != "ended":
                    self.platform.note("busy", piece=piece, machine=self.name)
                elif state["try"] != attempt:
                    self.begin(piece, attempt)
            elif order["verb"] == "halt" and state and state["try"] == attempt and state["stage"] != "ended":
                self.end(piece, "stopped")
            elif order["verb"] == "reap" and state and state["try"] == attempt and state["stage"] == "ended":
                del self.pieces[piece]
        self.wake.set()

    def begin(self, piece, attempt):
        job = self.platform.uploads.get(piece.split("/")[0])
        state = {"try": attempt, "stage": "pulling", "cause": None, "until": time.monotonic() + 0.2}
        self.pieces[piece] = state
        if job is None:
            state.update(stage="ended", cause="no_such")
            return
        used = sum(self.platform.uploads[p.split("/")[0]]["cpus"]
                   for p, s in self.pieces.items() if s["stage"] != "ended")
        if used > self.platform.hulls[self.hull]["cpus"] + 1e-6:
            state.update(stage="ended", cause="no_room")
            return
        elsewhere = [w.name for w in self.platform.workers.values() if w is not self
                     and w.pieces.get(piece, {"stage": "ended"})["stage"] not in ("ended", "pulling")]
        self.platform.note("run", piece=piece, machine=self.name, attempt=attempt, also_on=elsewhere)
        self.platform.started.setdefault(piece, []).append(time.monotonic())

    def end(self, piece, cause):
        self.pieces[piece].update(stage="ended", cause=cause)
        self.platform.note("ended " + cause, piece=piece, machine=self.name)
        self.platform.ended.setdefault(piece, []).append((time.monotonic(), cause))
        self.wake.set()

    async def run_loop(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.lease_from > self.platform.lease_s:
                self.platform.note("lease expired", machine=self.name, pieces=len(self.pieces))
                self.pieces, self.tally, self.tenure = {}, 0, self.tenure + 1
                self.lease_from = now
                self.wake.set()
            for piece, state in list(self.pieces.items()):
                if state["stage"] == "pulling" and now >= state["until"]:
                    run_s = self.platform.run_s(piece)
                    state.update(stage="running", until=None if run_s is None else now + run_s)
                    self.platform.note("running", piece=piece, machine=self.name)
                    self.wake.set()
                elif state["stage"] == "running" and state["until"] is not None and now >= state["until"]:
                    self.end(piece, self.platform.exit_cause(piece))

    async def report_loop(self):
        clients = [wire.Client(port) for port in self.platform.nodes]
        while True:
            client = clients[self.node]
            self.wake.clear()
            sent_at, tenure = time.monotonic(), self.tenure
            status, _, answer = await client.request("POST", "/hello", self.report(), 4.0)
            pause = None
            if status == 200:
                if tenure == self.tenure and answer.get("baton") is not None and answer["baton"] >= self.baton:
                    self.baton, self.lease_from = answer["baton"], sent_at
                    self.execute(answer["orders"])
                    self.wake.clear() if not answer["orders"] else None
            elif status == 421 and answer.get("answerTo") in self.platform.names \
                    and self.platform.names.index(answer["answerTo"]) != self.node:
                client.close()
                self.node = self.platform.names.index(answer["answerTo"])
                pause = 0.1
            else:
                self.node = (self.node + 1) % len(clients)
                pause = 1.0
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            await asyncio.sleep(0.5)
            interval = self.platform.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.wake.wait(), max(interval - 0.5, 0.01))
            except asyncio.TimeoutError:
                pass


class Platform:
    """The cloud and its workers."""

    def __init__(self, settings, note):
        self.hulls = {h["label"]: h for h in settings["hulls"]}
        self.capacity = settings["capacity"]
        self.report_s, self.lease_s = settings["report_s"], settings["lease_s"]
        self.lag_s, self.run_s, self.note = settings["list_lag_s"], settings["run_s"], note
        self.exit_cause = settings["exit_cause"]
        self.uploads, self.workers, self.rented, self.charters = {}, {}, {}, {}
        self.nodes, self.names = [], []
        self.started, self.ended = {}, {}
        self.lists = []  # (time, list)
        self.calls = Bucket(settings["cloud_rps"], 2.0)
        self.last = 0
        self.out = False

    async def start(self):
        self.server, port = await wire.serve(self.handle)
        asyncio.ensure_future(self.keep_lists())
        return port

    async def keep_lists(self):
        while True:
            now = time.monotonic()
            machines = [{"nameId": name, "address": m["address"], "hull": m["hull"], "bay": m["bay"],
                         "driftwood": m["driftwood"], "stage": m["stage"], "heldS": now - m["at"]}
                        for name, m in sorted(self.rented.items())]
            self.lists.append((now, machines))
            del self.lists[:-100]
            await asyncio.sleep(0.2)

    async def handle(self, method, path, query, body):
        if self.out:
            return 503, {"error": "trouble"}
        if not self.calls.take(1):
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"hulls": list(self.hulls.values())}
        if path == "/rentals" and method == "GET":
            query = dict(item.partition("=")[::2] for item in query.split("&") if item)
            at = time.monotonic() - self.lag_s
            current = [machines for taken, machines in self.lists if taken <= at] or [[]]
            rows = [m for m in current[-1] if m["nameId"] > query.get("since", "")]
            return 200, {"polyps": rows[:500], "truncated": len(rows) > 500}
        message = wire.unpack(body)
        if path == "/rentals":
            charter = message["charter"]
            if charter in self.charters:
                return 200, {"polyps": self.charters[charter]}
            pool = (message["hull"], message["bay"], message["driftwood"])
            room = self.capacity.get(pool, 0) - sum(
                1 for m in self.rented.values() if (m["hull"], m["bay"], m["driftwood"]) == pool)
            if room <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(min(room, message["count"], 50)):
                self.last += 1
                name = f"i-{self.last:06}"
                names.append(name)
                self.rented[name] = {"hull": pool[0], "bay": pool[1], "driftwood": pool[2], "stage": "booting",
                                     "at": time.monotonic(), "address": ""}
                asyncio.ensure_future(self.boot(name))
            self.charters[charter] = names
            self.note("rented", machines=names, bay=pool[1])
            return 200, {"polyps": names}
        for name in message["polyps"]:
            if self.rented.pop(name, None):
                self.note("deleted", machine=name)
            worker = self.workers.pop(name, None)
            if worker:
                worker.remove()
        return 200, {}

    async def boot(self, name):
        machine = self.rented[name]
        await asyncio.sleep(self.hulls[machine["hull"]]["bootS"])
        if name not in self.rented:
            return
        worker = Worker(self, name, machine["hull"], machine["bay"], machine["driftwood"])
        await worker.start()
        machine.update(stage="running", address=f"127.0.0.1:{worker.port}")
        self.workers[name] = worker


class Balancer:
    """The load balancer: health probes, fewest open connections, three tries for a connection."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.healthy = [False] * len(nodes)
        self.seen = [False] * len(nodes)
        self.history = [[] for _ in nodes]
        self.open = [0] * len(nodes)
        self.since = [0.0] * len(nodes)
        self.streams = [set() for _ in nodes]

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0, backlog=1024)
        for node in range(len(self.nodes)):
            asyncio.ensure_future(self.probe(node))
        return self.server.sockets[0].getsockname()[1]

    async def probe(self, node):
        client = wire.Client(self.nodes[node])
        while True:
            status, _, _ = await client.request("GET", "/healthz", None, 1.0)
            history = self.history[node]
            history.append(status == 200)
            del history[:-6]
            if self.healthy[node] and (history[-2:] == [False, False] or history.count(False) >= 3):
                self.healthy[node], self.since[node] = False, time.monotonic()
                asyncio.ensure_future(self.reset(node))
            elif not self.healthy[node] and status == 200:
                first = not self.seen[node]
                if first or (history[-2:] == [True, True] and time.monotonic() - self.since[node] > 3.0):
                    self.healthy[node] = self.seen[node] = True
                    history.clear()
            await asyncio.sleep(1.0)

    async def reset(self, node):
        since = self.since[node]
        await asyncio.sleep(5.0)
        if not self.healthy[node] and self.since[node] == since:
            for writer in list(self.streams[node]):
                writer.transport.abort()

    async def connection(self, reader, writer):
        tried = set()
        while len(tried) < 3:
            choice = [n for n in range(len(self.nodes)) if self.healthy[n] and n not in tried]
            if not choice:
                break
            node = min(choice, key=lambda n: (self.open[n], random.random()))
            tried.add(node)
            self.open[node] += 1
            try:
                upstream = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.nodes[node]), 0.5)
            except (OSError, asyncio.TimeoutError):
                self.open[node] -= 1
                continue
            self.streams[node].add(writer)
            copies = [asyncio.ensure_future(self.copy(reader, upstream[1])),
                      asyncio.ensure_future(self.copy(upstream[0], writer))]
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                pass
            finally:
                for copy in copies:
                    copy.cancel()
                self.streams[node].discard(writer)
                self.open[node] -= 1
                upstream[1].close()
                writer.close()
            return
        writer.close()

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
