"""Stand-ins of the users' platform for the scripts of review/: the metadata store, workers and the
machine API, as the page PROTOCOL.md describes them, on 127.0.0.1 and the real clock.
They also start the node processes with the command of deploy/system.toml, and submit jobs.

Each site keeps a record of what was sent, answered and run.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROW_BYTES = 65536
MAX_ENTRIES = 100
PAGE_ROWS = 500
LISTED_ENDS = 500


class Record:
    """Writes the lines of record.txt, with the time since the start in seconds."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


# ---------------------------------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads a message; returns the first line, the headers and the body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve(handler, port=0):
    """Serves HTTP/1.1 with kept connections. `handler(method, path, headers, body)` returns status and
    body (a JSON value or None)."""

    async def on_connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                status, value = await handler(method, path, headers, body)
                data = b"" if value is None else json.dumps(value).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(data))).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def call(port, method, path, value=None, headers=None, timeout=3.0):
    """Sends a request on a connection of its own; returns the status (0 without an answer) and the
    JSON body."""
    body = b"" if value is None else json.dumps(value).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(body)]
            named = {"Host": "site.example", "Content-Type": "application/json"}
            named.update(headers or {})
            lines += ["%s: %s" % item for item in named.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, _, data = await read_message(reader)
            status = int(line.split(" ")[1])
            try:
                return status, json.loads(data) if data else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, None


def free_ports(count):
    """Returns `count` consecutive free ports below those that the system assigns."""
    for _ in range(200):
        first = random.randint(18000, 31000)
        sockets = []
        try:
            for port in range(first, first + count):
                listener = socket.socket()
                listener.bind(("127.0.0.1", port))
                sockets.append(listener)
            return first
        except OSError:
            continue
        finally:
            for listener in sockets:
                listener.close()
    raise RuntimeError("no free ports")


# --------------------------------------------------------------------------------------- store


class Store:
    """Tables with one version counter. Loses nothing that it acknowledged."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.port = 0
        self.rejected = 0

    def put(self, table, key, value):
        """Writes a row of the operator or of a worker."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.version, False)

    def remove(self, table, key):
        row = self.rows.get((table, "", key))
        if row and not row[2]:
            self.version += 1
            self.rows[(table, "", key)] = ("", self.version, True)

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if not row or row[2] else base64.b64decode(row[0])

    def wire(self, name):
        table, part, key = name
        value, version, deleted = self.rows.get(name, ("", 0, False))
        wire = {"table": table, "part": part, "key": key, "row_version": version}
        if deleted:
            wire["deleted"] = True
        elif version:
            wire["value"] = value
        return wire

    def stamp(self, **fields):
        return dict(fields, row_version=self.version, now_ms=int(self.record.now() * 1000))

    def commit(self, body):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        expect, puts, remove = (body.get(key, []) for key in ("expect", "puts", "remove"))
        rows = expect + puts + remove
        if len(rows) > MAX_ENTRIES or len({name(row)[1] for row in rows}) > 1:
            return 400, {"error": "too many entries or parts"}
        if any(name(row)[0] in ("op", "servers") for row in puts + remove):
            return 403, None
        for row in puts:
            size = len(base64.b64decode(row.get("value", "")))
            if size > ROW_BYTES:
                self.rejected += 1
                if self.rejected <= 3 or self.rejected % 100 == 0:
                    self.record.write("store: 400, the value of row %s has %d bytes (row_bytes is %d); "
                                      "rejected so far: %d" % (name(row), size, ROW_BYTES, self.rejected))
                return 400, {"error": "a row is too large"}

        def current(key):
            row = self.rows.get(key)
            return 0 if not row or row[2] else row[1]

        if any(current(name(row)) != row.get("row_version", 0) for row in expect):
            return 412, self.stamp(rows=[self.wire(name(row)) for row in expect])
        self.version += 1
        for row in puts:
            self.rows[name(row)] = (row.get("value", ""), self.version, False)
        for row in remove:
            if name(row) in self.rows:
                self.rows[name(row)] = ("", self.version, True)
        return 200, self.stamp()

    async def handle(self, method, path, _headers, body):
        await asyncio.sleep(0.004)
        path, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        table = query.get("table", "")
        if path == "/rows-tx":
            return self.commit(json.loads(body))
        if path == "/rows-get":
            part, start, end = query.get("part", ""), query.get("from", ""), query.get("target")
            names = sorted(name for name, row in self.rows.items()
                           if name[0] == table and name[1] == part and not row[2]
                           and name[2] >= start and (end is None or name[2] < end))
            limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
            rows = [self.wire(name) for name in names[:limit]]
            return 200, self.stamp(rows=rows, has_more=len(names) > limit)
        if path == "/rows-parts":
            parts = {name[1] for name, row in self.rows.items() if name[0] == table and not row[2]}
            parts = sorted(part for part in parts if part > query.get("after", "") or "after" not in query)
            return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000}
        if path == "/rows-feed":
            after = int(query.get("after", "0"))
            changed = sorted((row[1], name) for name, row in self.rows.items()
                             if name[0] == table and row[1] > after)
            return 200, self.stamp(rows=[self.wire(name) for _, name in changed])
        return 404, None


# ------------------------------------------------------------------------------------- workers


class Run:
    def __init__(self, task, run, worker, started, duration, cause, cpu):
        self.task, self.run, self.worker, self.started = task, run, worker, started
        self.duration, self.cause, self.cpu = duration, cause, cpu
        self.ended = None
        self.how = None
        self.noted = None


class Worker:
    """A worker that guards its capacity. It knows the jobs that clients submitted, and so what each task
    needs. The specification names the duration of the tasks: `ms=300`; `fail` makes each run fail,
    `fails=2` the first two runs of each task."""

    def __init__(self, site, service, number, rack):
        self.site, self.service, self.number, self.rack = site, service, number, rack
        self.machine = "m-%s-%d" % (service, number)
        self.id = "i-%s-%d" % (service, number)
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.cpu, self.token, self.lease = 16000, 0, 0
        self.running, self.ended, self.closed = {}, [], {}
        self.next_end, self.sequence, self.port = 1, 0, 0
        self.changed = asyncio.Event()
        self.is_up, self.state = True, "ready"
        self.labels = ["kind-a", rack]
        # Until this time of the record, each run that begins here fails after 50 ms.
        self.grey_until = 0.0

    def clock(self):
        return int((time.monotonic() - self.start) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": "zone-1",
                "version": "1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born, "labels": self.labels,
                "capacity": {"cpu": self.cpu, "memory_request_mb": 65536, "gpu": 0}}

    def end(self, task, how):
        run = self.running.pop(task)
        run.ended, run.how = self.site.record.now(), how
        self.closed[task] = max(self.closed.get(task, 0), run.run)
        self.ended.append((self.next_end, run))
        self.next_end += 1
        if self.site.logs_runs:
            self.site.record.write("run: %s run %d on %s ended %s" % (task, run.run, self.id, how))
        self.changed.set()

    def advance(self):
        now = self.site.record.now()
        due = [task for task, run in self.running.items() if run.started + run.duration <= now]
        for task in due:
            self.end(task, self.running[task].cause)
        if self.clock() > self.lease:
            for task in list(self.running):
                self.end(task, "lapsed")

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + 10000))

    def start_run(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock():
            return 409, "late"
        self.extend(body["deadline_ms"])
        if task in self.running and self.running[task].run == number:
            return 200, None
        if task in self.running or number <= self.closed.get(task, 0):
            return 409, "old"
        job, _, step, _ = task.split(".")
        known = self.site.jobs.get(job)
        if known is None or known["specification"] != body["specification"]:
            self.site.unasked.append(task)
        cpu = known["steps"][int(step)].get("cpu", 0) if known else 0
        if sum(run.cpu for run in self.running.values()) + cpu > self.cpu:
            return 409, "room"
        words = body["specification"].split()
        # `first=38000`: the duration of the tasks of step 0.
        first = next((int(word[6:]) for word in words if word.startswith("first=")), None)
        duration = next((int(word[3:]) for word in words if word.startswith("ms=")), 200) / 1000.0
        duration = first / 1000.0 if first is not None and step == "0" else duration
        fails = next((int(word[6:]) for word in words if word.startswith("fails=")), 0)
        earlier = sum(1 for run in self.site.runs if run.task == task and run.how == "failed") if fails else 0
        cause = "failed" if "fail" in words or earlier < fails else "done"
        if self.site.record.now() < self.grey_until:
            duration, cause = 0.05, "failed"
        if "lasts" in words and cause == "done":
            duration = 1e6
        run = Run(task, number, self.id, self.site.record.now(), duration, cause, cpu)
        self.running[task] = run
        self.site.runs.append(run)
        if self.site.logs_runs:
            self.site.record.write("run: %s run %d begins on %s (service %s, token %d)"
                                   % (task, number, self.id, self.service, body["fencing_token"]))
        return 200, None

    async def handle(self, method, path, headers, raw):
        if method == "GET":
            return 200, None
        body = json.loads(raw)
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, None
        if not self.is_up:
            raise ConnectionResetError("the worker has left")
        self.advance()
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path == "/run-start":
            status, reason = self.start_run(body)
            answer = {"clock_ms": self.clock(), "born": self.born}
            return status, dict(answer, reason=reason) if reason else answer
        if path == "/run-stop":
            task, number = body["task"], body["run"]
            if task in self.running and self.running[task].run <= number:
                self.end(task, "stopped")
            self.closed[task] = max(self.closed.get(task, 0), number)
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if path == "/pace":
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if path != "/hold":
            return 404, None
        self.extend(body.get("deadline_ms"))
        cursor = body.get("ack_cursor", 0)
        for number, run in self.ended:
            if number <= cursor:
                run.noted = self.site.record.now()
        self.ended = [end for end in self.ended if end[0] > cursor]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            next_end = min([run.started + run.duration for run in self.running.values()], default=1e9)
            wait = min(until - time.monotonic(), max(0.0, next_end - self.site.record.now()) + 0.001)
            try:
                await asyncio.wait_for(self.changed.wait(), max(wait, 0.001))
            except asyncio.TimeoutError:
                pass
            self.advance()
        now = self.site.record.now()
        running = [[task, run.run, "", 100 if run.duration > 1e5 else min(99, int(100 * (now - run.started) / max(run.duration, 0.001))),
                    run.cpu] for task, run in self.running.items()]
        ended = [[number, run.task, run.run, run.how, ""] for number, run in self.ended[:LISTED_ENDS]]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended}


# ---------------------------------------------------------------------------------------- site


class Node:
    def __init__(self, name, front, readiness, internal, path):
        self.name, self.front, self.readiness, self.internal = name, front, readiness, internal
        self.path = path
        self.process = None


class Site:
    """A small deployment: a store, workers, the machine API and node processes."""

    def __init__(self, record_path, services, node_count, logs_runs=True):
        self.record = Record(record_path)
        self.logs_runs = logs_runs
        self.store = Store(self.record)
        self.services, self.node_count = services, node_count
        self.workers, self.nodes, self.servers = [], [], []
        self.jobs, self.runs, self.unasked = {}, [], []
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.cloud_port = 0

    async def cloud(self, method, path, _headers, body):
        if method == "GET":
            machines = [{"machine": worker.machine, "pool": worker.service, "state": "up",
                         "zone": "zone-1", "labels": ["kind-a", worker.rack], "identifier": worker.id,
                         "capacity": {"cpu": worker.cpu, "memory_request_mb": 65536, "gpu": 0}}
                        for worker in self.workers if worker.is_up]
            return 200, {"machines": machines}
        self.record.write("machine API: %s %s answered 429" % (path, body.decode()))
        return 429, None

    async def start(self):
        server, self.store.port = await serve(self.store.handle)
        self.servers.append(server)
        server, self.cloud_port = await serve(self.cloud)
        self.servers.append(server)
        for service, count in self.services:
            for number in range(count):
                worker = Worker(self, service, number, "r-%s-%d" % (service, number // 4))
                server, worker.port = await serve(worker.handle)
                worker.server = server
                self.servers.append(server)
                self.workers.append(worker)
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            for worker in self.workers:
                worker.advance()
                if worker.is_up:
                    self.store.put("servers", worker.id, worker.entry())
            for _ in range(50):
                await asyncio.sleep(0.02)
                for worker in self.workers:
                    worker.advance()

    async def scale_in(self, worker):
        """Empties a worker and takes it away: it reports `draining`, serves for `drain_ms` and a little longer,
        and exits. What runs on it then ends."""
        worker.state = "draining"
        self.store.put("servers", worker.id, dict(worker.entry(), drain_remaining_ms=2000))
        self.record.write("worker: %s reports draining" % worker.id)
        await asyncio.sleep(3.0)
        for task in list(worker.running):
            worker.end(task, "gone")
        worker.is_up = False
        worker.server.close()
        self.store.remove("servers", worker.id)
        self.record.write("worker: %s has left" % worker.id)

    def put_config(self, version, routes):
        """Writes a config. `routes` is a list of (path prefix, service, max_attempts)."""
        routes = [{"host": "site.example", "path_prefix": prefix, "service": service, "priority": 0,
                   "max_attempts": attempts, "stretch": 2.0, "target_latency_ms": 600}
                  for prefix, service, attempts in routes]
        services = [{"name": name, "enforces_capacity": True, "spare": False} for name, _ in self.services]
        self.store.put("op", "config", {"version": version, "routes": routes, "services": services,
                                        "limits": {"body_bytes": 262144}})
        self.record.write("operator: config %d with %d routes is acknowledged; the first are %s"
                          % (version, len(routes), [(r["path_prefix"], r["service"], r["max_attempts"]) for r in routes][:8]))

    def add_node(self):
        number = len(self.nodes) + 1
        name = "front-zone-%d" % number
        first = free_ports(20)
        node = Node(name, first, first + 1, first + 4, os.path.join(self.directory, name + ".json"))
        settings = {
            "node_name": name, "role": "jobs", "machine_class": "front", "serves": ["front"],
            "ip_address": "127.0.0.1", "zone": "zone-1", "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen_addresses": {"front": "127.0.0.1:%d" % node.front,
                                 "readiness_address": "127.0.0.1:%d" % node.readiness},
            "internal_port_range": [node.internal, node.internal + 15], "seed_nodes": [],
            "first_start": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice",
                          "upkeep", "sharing"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6,
                       "configuration_apply_ms": 2000, "maximum_hold_ms": 10000, "stop_ms": 900,
                       "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                       "finish_s": 14, "status_s": 120, "checkpoint_interval_s": 1, "restore_ms": 100,
                       "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2, "fencing_enforced": False,
                       "lease_ms": 3000},
            "orders": "call", "advice": None,
            "platform": {"address": "127.0.0.1:%d" % self.store.port, "form": "table",
                         "writes_per_s": 600, "reads_per_s": 2000, "transaction_ms": 5.0,
                         "partition_writes_s": 200, "row_bytes": ROW_BYTES, "across": False,
                         "history_s": 20},
            "cloud_api": {"address": "127.0.0.1:%d" % self.cloud_port, "rate_per_s": 64.0, "duties": [],
                          "duty_per_s": 64.0},
        }
        with open(node.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.nodes.append(node)
        return node

    def launch(self, node):
        """Starts the process of a node with the command of deploy/system.toml."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TANAGERLADDER_CONFIG"] = node.path
        log = open(os.path.join(self.directory, node.name + ".log"), "ab")
        node.process = subprocess.Popen(["target/release/tanagerladderd", "jobs"], cwd=ROOT,
                                        env=environment, stdout=log, stderr=log)
        log.close()
        self.record.write("platform: starts %s (process %d)" % (node.name, node.process.pid))

    def kill(self, node, number=signal.SIGKILL):
        self.record.write("platform: signal %d to %s (process %d)" % (number, node.name, node.process.pid))
        node.process.send_signal(number)
        if number == signal.SIGKILL:
            node.process.wait()

    async def start_nodes(self):
        # "All machines start within 0.3 s of each other, in any order."
        offsets = sorted(random.uniform(0.0, 0.3) for _ in range(self.node_count))
        for offset, before in zip(offsets, [0.0] + offsets):
            await asyncio.sleep(offset - before)
            self.launch(self.add_node())
        for node in self.nodes:
            await self.wait_ready(node)

    async def wait_ready(self, node, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            status, _ = await call(node.readiness, "GET", "/readiness", timeout=1.0)
            if status == 200:
                self.record.write("platform: %s is ready" % node.name)
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("%s is not ready" % node.name)

    async def submit(self, node, prefix, job, body, note=""):
        self.jobs.setdefault(job, body)
        status, _ = await call(node.front, "POST", prefix + job, body,
                               {"X-Deadline-Milliseconds": "3000"})
        self.record.write("client: POST %s%s at %s%s: %s" % (prefix, job, node.name, note,
                                                             status or "no answer"))
        return status

    async def state(self, node, prefix, job):
        status, body = await call(node.front, "GET", prefix + job, headers={"X-Deadline-Milliseconds": "3000"})
        return (body or {}).get("state") if status == 200 else status

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for worker in self.workers:
            worker.advance()
        self.beats.cancel()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def node_logs(self, *words):
        """Returns the lines of the nodes' logs that contain one of the words."""
        lines = []
        for node in self.nodes:
            with open(os.path.join(self.directory, node.name + ".log"), encoding="utf-8", errors="replace") as file:
                lines += [line.rstrip() for line in file if any(word in line for word in words)]
        return sorted(lines)


def has_trouble():
    """Returns whether the disruption is made: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main):
    """Runs a case; exits with its result: 1 the rule was broken, 0 it held, 2 it could not run."""

    def on_term(_number, _frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, on_term)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 118))
    except Exception as error:  # noqa: BLE001
        print("the case could not run: %r" % error)
        code = 2
    raise SystemExit(code)


# --------------------------------------------------------------------------------------- rules


def waiting_subtask(runs, job, body):
    """Returns a subtask whose turn has come if no subtask of the job runs, as the workers saw it."""
    done = set()
    for run in runs:
        if run.ended is None:
            return None
        if run.how == "done":
            done.add(run.task)
    for number, step in enumerate(body["steps"]):
        is_open = all("%s.0.%d.%d" % (job, after, index) in done
                      for after in step.get("after", []) for index in range(body["steps"][after]["count"]))
        for index in range(step["count"] if is_open else 0):
            task = "%s.0.%d.%d" % (job, number, index)
            if task not in done:
                return task
    return None


async def check_lost(site, accepted):
    """Checks LOST as it holds `finish_s` after the end of the traffic. `accepted` is a list of (prefix, job).
    Returns the jobs that aren't known or get no answer, and those that for 3 s have nothing running while a
    subtask's turn has come, its service has capacity for it twice over, and under half of that is in use."""
    unknown, states = [], {}
    for position, (prefix, job) in enumerate(accepted):
        state = await site.state(site.nodes[position % len(site.nodes)], prefix, job)
        states[job] = state
        if not isinstance(state, str):
            unknown.append(job)
    counts = {}
    for state in states.values():
        counts[state] = counts.get(state, 0) + 1
    site.record.write("client: states of the accepted jobs: %s" % counts)
    idle, waits, used = None, {}, 0
    capacity = sum(worker.cpu for worker in site.workers)
    until = site.record.now() + 3.2
    while site.record.now() < until:
        runs = {}
        for run in site.runs:
            runs.setdefault(run.task.split(".")[0], []).append(run)
        used = sum(run.cpu for worker in site.workers for run in worker.running.values())
        waits = {job: waiting_subtask(runs.get(job, []), job, site.jobs[job]) for _, job in accepted}
        waits = {job: task for job, task in waits.items() if task and used < capacity / 2}
        idle = set(waits) if idle is None else idle & set(waits)
        await asyncio.sleep(0.1)
    for job in sorted(idle)[:5]:
        site.record.write("rule LOST: job %s (%s) has had nothing running for 3 s; the turn of %s has come, and %d "
                          "of %d thousandths of a core are in use" % (job, states[job], waits[job], used, capacity))
    site.record.write("accepted %d jobs; LOST: %d have nothing running though their turn has come, %d aren't known or "
                      "get no answer" % (len(accepted), len(idle), len(unknown)))
    return unknown, idle, counts
