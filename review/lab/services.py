"""Stand-ins for the state service and the cloud, as the protocol page describes them."""
import asyncio
import bisect
import json
import time

from wire import serve


class Bucket:
    """A rate limit with bursts worth `burst_s` seconds."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.top, self.have, self.at = rate, rate * burst_s, rate * burst_s, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.have = min(self.top, self.have + (now - self.at) * self.rate)
        self.at = now
        if self.have + 1e-9 < n:
            return False
        self.have -= n
        return True


class State:
    def __init__(self, rps, write_rps, value_kb, txn_ops, record=lambda *a: None):
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.data, self.order, self.epoch = {}, [], 0  # path -> (value, stamp, hold)
        self.news, self.leases, self.next_lease = [], {}, 0
        self.changed = asyncio.Condition()
        self.counts = {"requests": 0, "429": 0, "writes": 0}
        self.record, self.outage = record, False

    def lower(self, limits):
        """From now on the service has these limits; what is stored stays readable."""
        self.value_kb, self.txn_ops = limits["value_kb"], limits["txn_ops"]
        self.writes = Bucket(limits["write_rps"])

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.reaper = asyncio.ensure_future(self.reap())

    async def reap(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.outage:
                continue
            for hold in [h for h, (ttl, at) in self.leases.items() if now - at > ttl]:
                await self.end_lease(hold)

    async def end_lease(self, hold):
        self.leases.pop(hold, None)
        gone = [p for p, (_, _, h) in self.data.items() if h == hold]
        for path in gone:
            self.epoch += 1
            self.delete(path)
        if gone:
            await self.wake()

    async def wake(self):
        del self.news[:-10000]
        async with self.changed:
            self.changed.notify_all()

    def put(self, path, value, hold):
        if path not in self.data:
            bisect.insort(self.order, path)
        self.data[path] = (value, self.epoch, hold)
        self.news.append({"set": path, "data": value, "stamp": self.epoch})
        self.counts["writes"] += 1

    def delete(self, path):
        if path in self.data:
            del self.data[path]
            self.order.pop(bisect.bisect_left(self.order, path))
            self.news.append({"delete": path, "stamp": self.epoch})

    async def handle(self, method, path, q, body):
        self.counts["requests"] += 1
        await asyncio.sleep(0.003)
        if self.outage:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.counts["429"] += 1
            return 429, {"error": "too many requests"}
        if method == "GET" and path.startswith("/kv/"):
            key = path[4:]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, stamp, hold = self.data[key]
            return 200, {"path": key, "data": value, "stamp": stamp, "hold": hold}
        if method == "GET" and path == "/kv":
            return 200, self.page(q.get("under", ""), q.get("since", ""), min(int(q.get("page", "1000")), 1000))
        if method == "GET" and path == "/changes":
            return await self.watch(q.get("under", ""), int(q.get("since", "0")), min(int(q.get("blockMs", "0")), 60000) / 1000)
        if method == "POST" and path == "/txn":
            return await self.txn(body)
        if method == "POST" and path == "/leases":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttlMs"] / 1000, time.monotonic())
            return 200, {"hold": self.next_lease}
        if path.startswith("/leases/"):
            hold = int(path.split("/")[2])
            if hold not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_lease(hold)
            else:
                self.leases[hold] = (self.leases[hold][0], time.monotonic())
            return 200, {"hold": hold}
        return 400, {"error": "malformed"}

    def page(self, under, since, most):
        rows, size, i = [], 0, bisect.bisect_right(self.order, since) if since else bisect.bisect_left(self.order, under)
        truncated = False
        while i < len(self.order) and self.order[i].startswith(under):
            path = self.order[i]
            value, stamp, _ = self.data[path]
            size += len(json.dumps(value)) + len(path) + 40
            if len(rows) >= most or size > 512 * 1024:
                truncated = True
                break
            rows.append({"path": path, "data": value, "stamp": stamp})
            i += 1
        return {"rows": rows, "truncated": truncated, "epoch": self.epoch}

    async def watch(self, under, since, block):
        until = time.monotonic() + block
        while True:
            if self.news and len(self.news) >= 10000 and self.news[0]["stamp"] > since + 1:
                return 410, {"error": "too old"}
            found = []
            for n in reversed(self.news):
                if n["stamp"] <= since:
                    break
                if n.get("set", n.get("delete")).startswith(under):
                    found.append(n)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"epoch": max(self.epoch, since), "news": found[::-1]}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except (asyncio.TimeoutError, TimeoutError):
                    pass

    async def txn(self, body):
        guards, writes = body.get("guards") or [], body.get("writes") or []
        if len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops or len(json.dumps(body)) > 65536:
            return 400, {"error": "too large"}
        for w in writes:
            if "set" in w:
                if len(json.dumps(w["data"])) > self.value_kb * 1024:
                    return 400, {"error": "value too large"}
                if w.get("hold") is not None and w["hold"] not in self.leases:
                    return 400, {"error": "no such lease"}
        if not self.writes.take(len(writes)):
            self.counts["429"] += 1
            return 429, {"error": "too many changes"}
        failed = [g["path"] for g in guards if self.data.get(g["path"], (None, 0, None))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            for w in writes:
                if "set" in w:
                    self.put(w["set"], w["data"], w.get("hold"))
                else:
                    self.delete(w["delete"])
            await self.wake()
        return 200, {"epoch": self.epoch}


class Cloud:
    """Rents machines out of `capacity`: {(hull, bay, driftwood): free machines}."""

    def __init__(self, hulls, capacity, rps, list_lag_s, on_up, on_gone, record=lambda *a: None):
        self.hulls, self.capacity, self.list_lag_s = hulls, capacity, list_lag_s
        self.rate, self.on_up, self.on_gone, self.record = Bucket(rps, 2.0), on_up, on_gone, record
        self.machines, self.charters, self.next_number = {}, {}, 0
        self.views = []  # (time, list)

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.viewer = asyncio.ensure_future(self.keep_views())

    async def keep_views(self):
        while True:
            self.views.append((time.monotonic(), self.listing()))
            self.views = [v for v in self.views if time.monotonic() - v[0] < 60]
            await asyncio.sleep(0.5)

    def listing(self):
        now = time.monotonic()
        return [{"nameId": n, "address": m["address"], "hull": m["hull"], "bay": m["bay"], "driftwood": m["driftwood"], "stage": m["stage"], "heldS": now - m["rented"]} for n, m in sorted(self.machines.items())]

    async def add(self, hull, bay, driftwood, up=True):
        self.next_number += 1
        name = "i-%06d" % self.next_number
        self.machines[name] = {"hull": hull, "bay": bay, "driftwood": driftwood, "stage": "booting", "address": "127.0.0.1:1", "rented": time.monotonic()}
        if up:
            await self.boot(name, 0)
        else:
            asyncio.ensure_future(self.boot(name, next(h["bootS"] for h in self.hulls if h["label"] == hull)))
        return name

    async def boot(self, name, after):
        await asyncio.sleep(after)
        if name in self.machines:
            m = self.machines[name]
            m["address"] = await self.on_up(name, m)
            m["stage"] = "running"

    def remove(self, name):
        m = self.machines.pop(name, None)
        if m is None:
            return
        key = (m["hull"], m["bay"], m["driftwood"])
        if key in self.capacity:  # a pool that the case has given room
            self.capacity[key] += 1
        self.on_gone(name)

    async def handle(self, method, path, q, body):
        await asyncio.sleep(0.05)
        if not self.rate.take(1):
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"hulls": self.hulls}
        if method == "POST" and path == "/rentals":
            charter = body["charter"]
            if charter in self.charters:
                return 200, {"polyps": self.charters[charter]}
            key = (body["hull"], body["bay"], bool(body["driftwood"]))
            n = min(body["count"], self.capacity.get(key, 0))
            if n <= 0:
                return 503, {"error": "no capacity"}
            self.capacity[key] -= n
            names = [await self.add(*key, up=False) for _ in range(n)]
            self.charters[charter] = names
            self.record("cloud", "rented", names, key)
            return 200, {"polyps": names}
        if method == "POST" and path == "/rentals/delete":
            self.record("cloud", "deleted", body["polyps"])
            for name in body["polyps"]:
                self.remove(name)
            return 200, {}
        if method == "GET" and path == "/rentals":
            now = time.monotonic()
            older = [v for v in self.views if now - v[0] >= self.list_lag_s]
            rows = (older[-1] if older else self.views[0])[1]
            rows = [r for r in rows if r["nameId"] > q.get("since", "")]
            most = min(int(q.get("page", "500")), 500)
            return 200, {"polyps": rows[:most], "truncated": len(rows) > most}
        return 400, {"error": "malformed"}
