"""A small deployment: three controller processes of the project, and the stand-ins around them."""

import asyncio
import json
import os
import pathlib
import random
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import wire
from services import Balancer, Platform, State

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ["quimper-centre", "brest-port", "lorient-sud"]
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The sizes and times of the build farm (BRIEF and kit/change), unless a case changes them.
DEFAULTS = {
    "rps": 200.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 24,
    "report_s": 3.0, "lease_s": 31.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": 61.0,
    "zones": ZONES, "cloud_rps": 10.0, "list_lag_s": 2.0, "cores": 1.0, "ram_mb": 136.0, "fd_limit": 2500,
    "teams": [{"name": "equipe-forge", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "hulls": [{"label": "menhir-small", "cpus": 16.0, "accelerators": 2.0, "memGb": 64.0, "localGb": 200.0,
               "fetchGbPerS": 1.0, "hourly": 6.52, "lowPrice": 2.45, "bootS": 1.0, "bays": ZONES}],
    "capacity": {("menhir-small", ZONES[0], False): 1},
    "run_s": lambda piece: None,  # seconds that a task runs; None: until it is stopped
    "exit_cause": lambda piece: "done",
}


class CannotRun(Exception):
    pass


def free_ports(count):
    """Returns ports that are free now and below those that the system gives to connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Cluster:
    def __init__(self, folder, **changes):
        self.settings = {**DEFAULTS, **changes}
        self.began = time.monotonic()
        self.record = open(pathlib.Path(folder) / "record.txt", "w")
        self.temporary = tempfile.TemporaryDirectory(prefix="coralnotch-review-")
        self.dir = pathlib.Path(self.temporary.name)
        self.processes = [None, None, None]
        self.logs = []
        self.expected_ends = set()

    def now(self):
        return time.monotonic() - self.began

    def note(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{self.now():8.3f}  {event}  {text}\n")

    async def start(self):
        s = self.settings
        self.state = State({key: s[key] for key in ("rps", "write_rps", "value_kb", "txn_ops")})
        self.state_ports = await self.state.start(3)
        self.platform = Platform(s, self.note)
        cloud = await self.platform.start()
        ports = free_ports(6)
        self.nodes, peers = ports[:3], ports[3:]
        self.names = ["reef-0", "reef-1", "reef-2"]
        self.platform.nodes, self.platform.names = self.nodes, self.names
        command = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        self.command = shlex.split(command)
        if not (ROOT / self.command[0]).is_file():
            raise CannotRun(f"{self.command[0]} is not built")
        for node in range(3):
            (self.dir / f"{node}.toml").write_text(self.file(node, peers, cloud))
            self.logs.append(open(self.dir / f"{node}.log", "ab"))
            self.start_node(node)
        self.balancer = Balancer(self.nodes)
        self.users = await self.balancer.start()
        await self.until(lambda: all(self.balancer.healthy), 20, "three healthy controllers")

    def file(self, node, peers, cloud):
        s = self.settings
        text = f'host_name = "{self.names[node]}"\ndomain = "{s["zones"][node]}"\n'
        text += f'bind = "127.0.0.1:{self.nodes[node]}"\npeer_bind = "127.0.0.1:{peers[node]}"\n'
        for other in range(3):
            if other != node:
                text += (f'[[siblings]]\nhost_name = "{self.names[other]}"\ndomain = "{s["zones"][other]}"\n'
                         f'addr = "127.0.0.1:{self.peer_port(node, other, peers)}"\n')
        text += f'[services]\ncloud = "127.0.0.1:{cloud}"\nstate = "127.0.0.1:{self.state_ports[node]}"\n'
        text += f'[deployment]\nsize = 3\nzones = {json.dumps(s["zones"])}\nclock_error_ms = 1000.0\n'
        for team in s["teams"]:
            text += "[[deployment.teams]]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in team.items())
        for table, keys in (("workers", ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s")),
                            ("state", ("rps", "write_rps", "value_kb", "txn_ops"))):
            text += f"[deployment.{table}]\n" + "".join(f"{key} = {s[key]}\n" for key in keys)
        text += f'[deployment.cloud]\nrps = {s["cloud_rps"]}\nlist_lag_s = {s["list_lag_s"]}\n'
        text += f'[deployment.quota]\ncores = {s["cores"]}\nram_mb = {s["ram_mb"]}\nfd_limit = {s["fd_limit"]}\n'
        return text

    def peer_port(self, node, other, peers):
        return peers[other]

    def start_node(self, node):
        self.note("controller starts", name=self.names[node])
        self.processes[node] = subprocess.Popen(
            [str(ROOT / self.command[0]), *self.command[1:], str(self.dir / f"{node}.toml")], cwd=ROOT,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=self.logs[node])

    def kill_node(self, node):
        self.note("controller killed", name=self.names[node])
        self.processes[node].kill()
        self.processes[node].wait()

    def stop_node(self, node):
        self.note("controller stands still", name=self.names[node])
        self.processes[node].send_signal(signal.SIGSTOP)

    def continue_node(self, node):
        self.note("controller goes on", name=self.names[node])
        self.processes[node].send_signal(signal.SIGCONT)

    def leader(self):
        item = self.state.keys.get("c2/w/leader")
        return self.names.index(item[0]["name"]) if item else None

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.05)

    def job(self, number, **changes):
        return {"nameId": f"j-{number:06}", "lane": "unit-sweep", "crew": "equipe-forge", "shape": "batch",
                "rank": "normal", "pieces": 1, "cpus": 1.0, "accelerators": 0.0, "memGb": 3.2, "bundle": "img-01",
                "sizeGb": 0.1, "hulls": None, "bay": None, "oneZone": False, "spread": False, "driftwood": False,
                "expectS": 30.0, "markEveryS": 0.0, "markTakesS": 0.0, "dueS": None, **changes}

    async def ask(self, client, method, path, value=None, timeout=5.0, quiet=False):
        status, headers, answer = await client.request(method, path, value, timeout)
        if not quiet:
            self.note("answer", request=f"{method} {path}", status=status, body=json.dumps(answer))
        return status, headers, answer

    async def submit(self, job, client=None, limit_s=60.0):
        """Submits as a user does; returns whether the job was accepted."""
        self.platform.uploads[job["nameId"]] = job
        client = client or wire.Client(self.users)
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, headers, answer = await self.ask(client, "POST", "/v2/runs", job, 5.0)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", 1))))
        return False

    async def cancel(self, job_id, client=None, limit_s=60.0):
        """Cancels as a user does; returns the state that was confirmed, or None."""
        client = client or wire.Client(self.users)
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, headers, answer = await self.ask(client, "POST", f"/v2/runs/{job_id}/withdraw", None, 5.0)
            if status == 200:
                return answer["stage"]
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", 1))))
        return None

    def end(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for log in self.logs:
            log.close()
        for node in range(len(self.logs)):
            if os.environ.get("KEEP_LOGS"):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{node}.log"
                target.write_bytes((self.dir / f"{node}.log").read_bytes())
        self.record.close()
        self.temporary.cleanup()


def run(folder, case, **changes):
    """Runs `async case(cluster, trouble)`, which returns the sentences that say what was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(folder, **changes)

    async def main():
        signal_end = asyncio.get_running_loop().create_future()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, lambda: signal_end.done() or signal_end.set_exception(CannotRun("ended by a signal")))

        async def work():
            if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < 2500:
                raise CannotRun("the stand-ins need 2,500 open files")
            await cluster.start()
            return await case(cluster, trouble)
        task = asyncio.ensure_future(work())
        await asyncio.wait([task, signal_end], timeout=116, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise CannotRun("the time is over")
        return task.result()

    try:
        broken = asyncio.run(main())
        code = BROKEN if broken else HELD
        cluster.note("result", broken=broken)
    except Exception as error:  # noqa: BLE001 - whatever happens, the processes are ended
        code, broken = NOT_RUN, [f"could not run: {error!r}"]
        cluster.note("could not run", error=repr(error))
        if os.environ.get("REVIEW_DEBUG"):
            raise
    finally:
        cluster.end()
    print("\n".join(broken) if broken else "the rule held")
    sys.exit(code)
