"""A small deployment on loopback: three real controllers, started with the deploy file's command,
against stand-ins for the state service, the cloud, the workers, the load balancer and the users."""
import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from services import Cloud, State  # noqa: E402
from wire import Connection  # noqa: E402
from workers import Pool  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Broken(Exception):
    """The rule was broken."""


class CannotRun(Exception):
    """The case could not run."""


def free_port(taken=set()):
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10240, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


def run_command():
    for line in open(os.path.join(ROOT, "deploy", "service.toml")):
        if line.startswith("run"):
            return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise CannotRun("deploy/service.toml has no run")


class Lab:
    def __init__(self, folder, zones, hulls, capacity, teams, objectives=(), report_s=3.0, lease_s=31.0, cancel_s=61.0,
                 rps=200.0, write_rps=40.0, value_kb=16.0, txn_ops=24, limits_next=None, cloud_rps=10.0, list_lag_s=5.0, size=3):
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.times = {"report_s": report_s, "lease_s": lease_s, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": cancel_s}
        self.limits = {"rps": rps, "write_rps": write_rps, "value_kb": value_kb, "txn_ops": txn_ops}
        self.limits_next = limits_next or {}
        self.zones, self.teams, self.objectives, self.hulls = zones, teams, objectives, hulls
        self.names = ["reef-%d" % i for i in range(size)]
        self.ports = {n: (free_port(), free_port()) for n in self.names}
        self.state = State(rps, write_rps, value_kb, txn_ops, self.record)
        self.pool = Pool(self.times, {n: p[0] for n, p in self.ports.items()}, self.record)
        self.cloud_rps, self.list_lag_s = cloud_rps, list_lag_s
        self.cloud = Cloud(hulls, dict(capacity), cloud_rps, list_lag_s, lambda n, m: self.pool.up(n, m, hulls), self.pool.gone, self.record)
        self.dir = tempfile.TemporaryDirectory(prefix="coralnotch-review-")
        self.processes, self.opened, self.healthy = {}, {n: 0 for n in self.names}, {n: False for n in self.names}

    def now(self):
        return time.monotonic() - self.began

    def record(self, *words):
        self.out.write("%8.3f %s\n" % (self.now(), " ".join(str(w) for w in words)))
        self.out.flush()

    def settings(self, name):
        q = lambda s: '"%s"' % s
        i = self.names.index(name)
        lines = ["host_name = " + q(name), "domain = " + q(self.zones[i % len(self.zones)]),
                 "bind = " + q("127.0.0.1:%d" % self.ports[name][0]), "peer_bind = " + q("127.0.0.1:%d" % self.ports[name][1])]
        for j, other in enumerate(self.names):
            if other != name:
                lines += ["[[siblings]]", "host_name = " + q(other), "domain = " + q(self.zones[j % len(self.zones)]), "addr = " + q("127.0.0.1:%d" % self.ports[other][1])]
        lines += ["[services]", "cloud = " + q("127.0.0.1:%d" % self.cloud.port), "state = " + q("127.0.0.1:%d" % self.state.port),
                  "[deployment]", "size = %d" % len(self.names), "zones = [%s]" % ", ".join(q(z) for z in self.zones), "clock_error_ms = 25.0"]
        for team, limits in self.teams.items():
            lines += ["[[deployment.teams]]", "name = " + q(team)] + ["%s = %.1f" % (k, limits.get(k, 0.0)) for k in ("cpus", "cpus_max", "gpus", "gpus_max")]
        for o in self.objectives:
            lines += ["[[deployment.objectives]]"] + ["%s = %s" % (k, q(v) if isinstance(v, str) else v) for k, v in o.items()]
        lines += ["[deployment.workers]"] + ["%s = %s" % kv for kv in self.times.items()]
        lines += ["[deployment.state]"] + ["%s = %s" % kv for kv in self.limits.items()]
        if self.limits_next:
            lines += ["[deployment.state.next]"] + ["%s = %s" % kv for kv in self.limits_next.items()]
        lines += ["[deployment.cloud]", "rps = %s" % self.cloud_rps, "list_lag_s = %s" % self.list_lag_s,
                  "[deployment.quota]", "cores = 0.32", "ram_mb = 200.0", "fd_limit = 2500"]
        path = os.path.join(self.dir.name, name + ".toml")
        open(path, "w").write("\n".join(lines) + "\n")
        return path

    def start_node(self, name):
        log = open(os.path.join(self.dir.name, name + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL="info")
        self.processes[name] = subprocess.Popen(run_command() + [self.settings(name)], cwd=ROOT, env=env, stderr=log, stdout=log, stdin=subprocess.DEVNULL)
        self.record("platform starts", name)

    def kill_node(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record("platform kills", name)

    async def start(self, machines=()):
        if not os.path.exists(os.path.join(ROOT, run_command()[0])):
            raise CannotRun("the controller is not built")
        await self.state.start()
        await self.cloud.start()
        names = [await self.cloud.add(*m) for m in machines]
        for name in self.names:
            self.start_node(name)
        self.probes = [asyncio.ensure_future(self.probe(n)) for n in self.names]
        for _ in range(300):
            if all(self.healthy.values()) and all(w.baton > 0 for w in self.pool.workers.values()):
                self.record("all nodes are healthy, all workers have an answer")
                return names
            await asyncio.sleep(0.1)
        raise CannotRun("the cluster did not become ready in 30 s")

    async def probe(self, name):
        """The load balancer's probe: unhealthy after two failures in a row, healthy after two successes (one at first)."""
        link, good, bad, was = Connection(self.ports[name][0]), 0, 0, False
        while True:
            status, _ = await link.call("GET", "/healthz", None, 1.0)
            good, bad = (good + 1, 0) if status == 200 else (0, bad + 1)
            if bad >= 2:
                self.healthy[name] = False
            elif good >= (2 if was else 1):
                self.healthy[name] = was = True
            await asyncio.sleep(0.5 if not was else 1.0)

    def choose(self):
        """The load balancer's choice for a new connection: a healthy node with the fewest open ones."""
        up = [n for n in self.names if self.healthy[n]] or self.names
        return min(up, key=lambda n: (self.opened[n], (self.names.index(n) + int(self.now() * 7)) % len(self.names)))

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for worker in list(self.pool.workers.values()):
            worker.stop()
        self.dir.cleanup()

    # ---- users
    def job(self, number, **fields):
        spec = {"nameId": "j-%06d" % number, "lane": "batch", "crew": "forge", "shape": "batch", "rank": "normal", "pieces": 1,
                "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "bundle": "img-small", "sizeGb": 0.05, "hulls": None, "bay": None,
                "oneZone": False, "spread": False, "driftwood": False, "expectS": 5.0, "markEveryS": 0.0, "markTakesS": 0.0, "dueS": None}
        spec.update(fields)
        self.pool.specs[spec["nameId"]] = spec
        return spec


class User:
    """A user behind the load balancer, with a connection of its own."""

    def __init__(self, lab, name=None):
        self.lab, self.node, self.link = lab, name, None

    def connect(self):
        if self.link is None:
            self.node = self.lab.choose()
            self.lab.opened[self.node] += 1
            self.link = Connection(self.lab.ports[self.node][0])

    def leave(self):
        if self.link is not None:
            self.lab.opened[self.node] -= 1
            self.link.close()
            self.link = None

    async def once(self, method, target, body=None, timeout=5.0):
        self.connect()
        node = self.node
        status, answer = await self.link.call(method, target, body, timeout)
        self.lab.record("user", method, target, "at", node, "->", status, answer)
        if status is None:
            self.leave()
        return status, answer

    async def until(self, method, target, body, good, patience=60.0):
        """Repeats a request as users do, after 1 s or `Retry-After`; returns the answer, or None."""
        began = time.monotonic()
        while True:
            status, answer = await self.once(method, target, body)
            if status in good:
                return status, answer
            after = answer.get("_retry_after", 1.0) if isinstance(answer, dict) else 1.0
            if time.monotonic() - began + after > patience:
                return None
            await asyncio.sleep(max(1.0, after))

    async def submit(self, spec, patience=60.0):
        answer = await self.until("POST", "/v2/runs", spec, (200, 201, 400, 422), patience)
        if answer is None or answer[0] not in (200, 201):
            raise CannotRun("a submission was not accepted: %s" % (answer,))

    async def stage(self, job):
        status, answer = await self.once("GET", "/v2/runs/" + job, None, 2.0)
        return answer.get("stage") if status == 200 else None

    async def withdraw(self, job, patience=60.0):
        return await self.until("POST", "/v2/runs/%s/withdraw" % job, None, (200,), patience)


def main(folder, body):
    """Runs the case `body(lab factory)`; exits 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    labs = []

    def make(*args, **kwargs):
        labs.append(Lab(folder, *args, **kwargs))
        return labs[-1]

    async def go():
        try:
            return await asyncio.wait_for(body(make), 114)
        finally:
            for lab in labs:
                lab.stop()

    def ended(*_):
        raise SystemExit(2)

    code, said = 2, "ended from outside"
    signal.signal(signal.SIGTERM, ended)
    try:
        said = asyncio.run(go())
        code = 0
        print("held:", said)
    except Broken as e:
        code, said = 1, e
        print("broken:", e)
    except Exception as e:  # noqa: BLE001
        said = "%s: %s" % (type(e).__name__, e)
        print("could not run:", said)
    finally:
        for lab in labs:
            lab.stop()
            lab.record("result", code, said)
    sys.exit(code)
