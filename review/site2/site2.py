"""A small stand-in of the users' platform for the scripts of this review.

It follows ../given/kit/more/system/PROTOCOL.md: the table store, the machine API, the operator, and
workers as separate processes. Everything listens on 127.0.0.1. Only the standard library is used.
"""
import base64
import http.client
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer

HOST = "site2.example"


def now_ms():
    return int(time.time() * 1000)


class Handler(BaseHTTPRequestHandler):
    """One HTTP/1.1 connection; `server.answer` returns (status, object), or None for no answer."""
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else b""
        answer = self.server.answer(self, self.command, self.path, body)
        if answer is None:
            # No answer: the channel stays open and delivers nothing further.
            self.server.ended.wait(30)
            self.close_connection = True
            return
        status, value = answer
        data = json.dumps(value).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = serve


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, answer, port=0):
        super().__init__(("127.0.0.1", port), Handler)
        self.answer = answer
        self.ended = threading.Event()
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, *_):
        pass

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server_address[1]


NEXT_PORT = [21000 + (os.getpid() * 37) % 9000]


def free_ports(count):
    """Finds `count` consecutive free ports below the range of outgoing connections; never the same twice."""
    for _ in range(500):
        sockets = []
        base = NEXT_PORT[0]
        NEXT_PORT[0] = base + count if base + count < 32000 else 21000
        try:
            for port in range(base, base + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


class Store:
    """The platform's table store: linearizable, loses nothing, takes 5 ms for a transaction."""

    def __init__(self):
        self.lock = threading.Lock()
        self.version = 0
        self.rows = {}
        self.trouble = None
        self.server = Server(self.answer)

    def put(self, table, key, value):
        with self.lock:
            self.version += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, "", key)] = (text, self.version)
            return self.version

    def remove(self, table, key):
        with self.lock:
            old = self.rows.get((table, "", key))
            if old and old[0] is not None:
                self.version += 1
                self.rows[(table, "", key)] = (None, self.version)

    def value(self, table, key, part=""):
        with self.lock:
            row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row and row[0] is not None else None

    def row(self, name):
        table, part, key = name
        value, version = self.rows.get(name, (None, 0))
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if value is not None:
            row["value"] = value
        elif version:
            row["deleted"] = True
        return row

    def answer(self, handler, method, path, body):
        if self.trouble is not None:
            answer = self.trouble(handler, method, path, body)
            if answer != "serve":
                return answer
        return self.serve(method, path, body)

    def serve(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            time.sleep(0.005)
            return self.transaction(json.loads(body))
        with self.lock:
            common = {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}
            if path == "/rows-get":
                table, part = query.get("table", ""), query.get("part", "")
                limit = min(int(query.get("limit") or 500), 500)
                names = sorted(name for name, row in self.rows.items()
                               if name[0] == table and name[1] == part and row[0] is not None
                               and name[2] >= query.get("from", "")
                               and ("target" not in query or name[2] < query["target"]))
                rows = [self.row(name) for name in names[:limit]]
                return 200, {"rows": rows, "has_more": len(names) > limit, **common}
            if path == "/rows-feed":
                after = int(query.get("after") or 0)
                names = sorted((row[1], name) for name, row in self.rows.items()
                               if name[0] == query.get("table") and row[1] > after)
                return 200, {"rows": [self.row(name) for _, name in names], **common}
            if path == "/rows-parts":
                parts = sorted({name[1] for name, row in self.rows.items()
                                if name[0] == query.get("table") and row[0] is not None
                                and name[1] > query.get("after", "")})
                return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000, **common}
        return 404, {}

    def transaction(self, call):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        expect, puts, removals = (call.get(k) or [] for k in ("expect", "puts", "remove"))
        with self.lock:
            current = lambda n: self.rows[n][1] if n in self.rows and self.rows[n][0] is not None else 0
            if any(current(name(row)) != row.get("row_version", 0) for row in expect):
                return 412, {"rows": [self.row(name(row)) for row in expect], "row_version": self.version}
            if any(name(row)[0] in ("op", "servers") for row in puts + removals):
                return 403, {}
            self.version += 1
            for row in puts:
                self.rows[name(row)] = (row["value"], self.version)
            for row in removals:
                if name(row) in self.rows:
                    self.rows[name(row)] = (None, self.version)
            return 200, {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}


class Site:
    """The platform, its workers and the nodes of the system under test."""

    def __init__(self, directory, record, bounds=None, heartbeat_ms=1500):
        self.directory = directory
        self.record_path = record
        self.record_lock = threading.Lock()
        self.events = os.path.join(directory, "events")
        open(self.events, "w").close()
        self.start = time.time()
        self.heartbeat_ms = heartbeat_ms
        self.bounds = {"maximum_hold_ms": 10000, "stop_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "grace_s": 6,
                       "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000,
                       "configuration_apply_ms": 2000, "lease_ms": 3000, "maintenance_s": 2, "move_s": 1.5,
                       "notice_ms": 4500, "pace_ms": 100, "harm_ms": 4000, "fencing_enforced": False}
        self.bounds.update(bounds or {})
        self.store = Store()
        self.beats = {}
        self.gone = set()
        self.machine_lock = threading.Lock()
        self.machines = {}
        self.machine_trouble = None
        self.cloud = Server(self.answer_cloud)
        self.beat_server = Server(self.answer_beat)
        self.processes = []
        self.workers = {}
        self.nodes = {}
        threading.Thread(target=self.expire, daemon=True).start()

    # -- record
    def note(self, text):
        line = "%9.3f %s\n" % (time.time() - self.start, text)
        with self.record_lock, open(self.record_path, "a") as out:
            out.write(line)

    def runs(self):
        """Returns what the workers did, in order: dicts with ms, worker, born, what, task, run."""
        with open(self.events) as lines:
            return sorted((json.loads(line) for line in lines if line.endswith("\n")), key=lambda e: e["ms"])

    def runs_now(self):
        """Returns the subtasks that run now, each with its worker."""
        running = {}
        for event in self.runs():
            if event["what"] == "run":
                running[event["task"], event["worker"]] = event["run"]
            elif event["what"] == "end":
                running.pop((event["task"], event["worker"]), None)
            elif event["what"] == "crash":
                running = {key: run for key, run in running.items() if key[1] != event["worker"]}
        return running

    def note_runs(self):
        with self.record_lock, open(self.record_path, "a") as out:
            out.write("what the workers did:\n")
            for event in self.runs():
                at = event["ms"] / 1000 - self.start
                out.write("%9.3f %s\n" % (at, " ".join("%s=%s" % i for i in event.items() if i[0] != "ms")))

    # -- workers
    def add_worker(self, name, service, rack, cpu=16000, memory=65536, machine=None):
        port = free_ports(1)
        self.workers[name] = {"port": port, "service": service, "rack": rack, "cpu": cpu, "memory": memory,
                              "machine": machine or "m-" + name, "process": None}
        with self.machine_lock:
            self.machines[machine or "m-" + name] = {"worker": name, "pool": service, "rack": rack, "state": "up",
                                                     "cpu": cpu, "memory": memory, "waves": {}}
        self.start_worker(name)

    def start_worker(self, name):
        worker = self.workers[name]
        arguments = {"id": "i-" + name, "port": worker["port"], "service": worker["service"],
                     "labels": ["a", worker["rack"]], "cpu": worker["cpu"], "memory": worker["memory"],
                     "events": self.events, "beat": self.beat_server.address, "heartbeat_ms": self.heartbeat_ms,
                     "max_hold_ms": self.bounds["maximum_hold_ms"]}
        process = subprocess.Popen([sys.executable, os.path.abspath(__file__), "worker", json.dumps(arguments)])
        worker["process"] = process
        self.processes.append(process)

    def kill_worker(self, name):
        process = self.workers[name]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()
        with open(self.events, "a") as out:
            out.write(json.dumps({"ms": now_ms(), "worker": "i-" + name, "what": "crash"}) + "\n")

    def answer_beat(self, _handler, _method, _path, body):
        entry = json.loads(body)
        identifier = entry.pop("id")
        known = self.beats.get(identifier)
        self.beats[identifier] = (time.monotonic(), entry)
        if self.store.trouble is None or known:
            self.store.put("servers", identifier, entry)
        return 200, {}

    def expire(self):
        """Removes the entries of workers after three heartbeat intervals of silence."""
        while True:
            time.sleep(0.1)
            for identifier, (at, _) in list(self.beats.items()):
                if time.monotonic() - at > 3 * self.heartbeat_ms / 1000:
                    del self.beats[identifier]
                    self.store.remove("servers", identifier)

    # -- machine API
    def answer_cloud(self, handler, method, path, body):
        if self.machine_trouble is not None:
            answer = self.machine_trouble(handler, method, path, body)
            if answer != "serve":
                return answer
        return self.serve_cloud(handler, method, path, body)

    def serve_cloud(self, handler, method, path, body):
        path = path.partition("?")[0]
        if path == "/machines":
            with self.machine_lock:
                machines = [{"machine": name, "pool": m["pool"], "state": m["state"], "zone": "zone-1",
                             "labels": ["a", m["rack"]],
                             "capacity": {"cpu": m["cpu"], "memory_request_mb": m["memory"], "gpu": 0},
                             "identifier": "i-" + m["worker"]} for name, m in sorted(self.machines.items())]
            return 200, {"machines": machines, "next_page_token": None}
        if path not in ("/machine-upkeep", "/machine-move"):
            return 404, {}
        call = json.loads(body)
        name = call.get("machine")
        holder, token = handler.headers.get("X-Duty-Holder"), handler.headers.get("X-Fencing-Token")
        with self.machine_lock:
            machine = self.machines.get(name)
            if machine is None:
                answer = 400, {}
            elif path == "/machine-move":
                answer = 400, {}
            elif call["wave"] in machine["waves"]:
                answer = 200, {}
            elif machine["state"] != "up":
                answer = 409, {"reason": "busy"}
            else:
                machine["state"] = "upkeep"
                machine["waves"][call["wave"]] = time.time() - self.start
                answer = 200, {}
                threading.Thread(target=self.upkeep, args=(name,), daemon=True).start()
        self.note("platform: %s %s by %s token %s -> %s" % (path, json.dumps(call), holder, token, answer))
        return answer

    def upkeep(self, name):
        machine = self.machines[name]
        worker = machine["worker"]
        self.kill_worker(worker)
        self.beats.pop("i-" + worker, None)
        self.store.remove("servers", "i-" + worker)
        time.sleep(self.bounds["maintenance_s"])
        self.start_worker(worker)
        with self.machine_lock:
            machine["state"] = "up"

    # -- nodes
    def add_node(self, name, store=None, cloud=None):
        base = free_ports(4)
        settings = {"node_name": name, "role": "jobs", "machine_class": "front", "serves": ["front"],
                    "ip_address": "127.0.0.1", "zone": "zone-1", "region": "region-1",
                    "zones": {"zone-1": "region-1"},
                    "listen_addresses": {"front": "127.0.0.1:%d" % base,
                                         "readiness_address": "127.0.0.1:%d" % (base + 1)},
                    "internal_port_range": [base + 2, base + 3], "seed_nodes": [], "first_start": True,
                    "loss_counts": True,
                    "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                               "link_mbps": 1000.0, "disk_mb": 0},
                    "data_directory": None, "discovery": "platform", "entry": "virtual_ip",
                    "heartbeat_ms": self.heartbeat_ms,
                    "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep"],
                    "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": self.bounds,
                    "orders": "call",
                    "platform": {"address": store or self.store.server.address, "form": "table",
                                 "writes_per_s": 600, "reads_per_s": 2000, "transaction_ms": 5.0,
                                 "partition_writes_s": 200, "row_bytes": 65536, "across": False, "history_s": 20,
                                 "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0},
                    "cloud_api": {"address": cloud or self.cloud.address, "rate_per_s": 64.0, "duties": [],
                                  "duty_per_s": 64.0}}
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w") as out:
            json.dump(settings, out)
        self.nodes[name] = {"port": base, "settings": path, "process": None, "inner": base + 2}
        self.start_node(name)

    def start_node(self, name):
        node = self.nodes[name]
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG", "RUST_LOG")}
        environment["TANAGERLADDER_CONFIG"] = node["settings"]
        with open(os.path.join(self.directory, name + ".log"), "ab") as log:
            node["process"] = subprocess.Popen(run_command(), env=environment, stdout=log, stderr=log)
        self.processes.append(node["process"])

    def signal_node(self, name, number):
        self.note("node %s gets signal %s" % (name, signal.Signals(number).name))
        self.nodes[name]["process"].send_signal(number)
        if number == signal.SIGKILL:
            self.nodes[name]["process"].wait()

    def owner_of(self, part):
        """Returns the node that owns a cell, by the log lines of the nodes."""
        best = (0, None)
        for name in self.nodes:
            with open(os.path.join(self.directory, name + ".log"), errors="replace") as log:
                for line in log:
                    if "event=cell_taken cell=%s " % part in line:
                        token = int(line.split(" token=")[1].split()[0])
                        best = max(best, (token, name))
        return best[1]

    def wait_ready(self, seconds=25):
        end = time.time() + seconds
        for node in self.nodes.values():
            while True:
                try:
                    if call(node["port"] + 1, "GET", "/readiness", timeout=1)[0] == 200:
                        break
                except OSError:
                    pass
                if time.time() > end:
                    raise Unready("a node is not ready")
                time.sleep(0.1)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    # -- clients
    def submit(self, node, prefix, identifier, job, timeout=3.0):
        answer = self.ask(node, "POST", prefix + identifier, job, timeout)
        self.note("client: POST %s%s %s at %s -> %s" % (prefix, identifier, json.dumps(job)[:300], node, answer))
        return answer

    def submit_until_accepted(self, prefix, identifier, job, seconds=15):
        end = time.time() + seconds
        while time.time() < end:
            for node in self.nodes:
                status, _ = self.submit(node, prefix, identifier, job)
                if status == 200:
                    return True
                time.sleep(0.3)
        return False

    def state(self, prefix, identifier, nodes=None, timeout=3.0, quiet=False):
        """Asks nodes in turn until one gives the state of a job; returns (status, state)."""
        last = (0, None)
        for node in nodes or self.nodes:
            status, body = self.ask(node, "GET", prefix + identifier, None, timeout)
            if not quiet:
                self.note("client: GET %s%s at %s -> %s %s" % (prefix, identifier, node, status, body))
            last = status, body.get("state") if isinstance(body, dict) else None
            if status in (200, 410):
                return last
        return last

    def ask(self, node, method, path, body, timeout=3.0):
        try:
            return call(self.nodes[node]["port"], method, path, body, timeout,
                        {"Host": HOST, "X-Deadline-Milliseconds": str(int(timeout * 1000))})
        except (OSError, http.client.HTTPException) as error:
            return 0, {"error": repr(error)}


class Unready(Exception):
    pass


def run_command():
    """Returns the command of the role in the deploy file."""
    with open("deploy/system.toml") as lines:
        for line in lines:
            if line.startswith("run = "):
                return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise RuntimeError("no command in deploy/system.toml")


def call(port, method, path, body=None, timeout=3.0, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        headers = dict(headers or {})
        if data is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text) if text else {}
        except ValueError:
            return response.status, {"text": text.decode(errors="replace")}
    finally:
        connection.close()


def route(name, prefix, service, priority=0, max_attempts=3):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
            "target_latency_ms": 2500, "priority": priority, "service": service, "max_attempts": max_attempts,
            "stretch": 2.0}


def service(name, spare=False):
    return {"name": name, "health_check_path": "/health", "connection_limit": 64, "protocol": "h1", "tls": False,
            "enforces_capacity": True, "spare": spare}


def config(routes, services, version=7):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Worker:
    """A worker of the platform, one process. What a subtask needs stands in the job's specification, as JSON:
    a list with one object for each step: `ms` of work (absent: it lasts), `cpu`, `memory`."""

    def __init__(self, arguments):
        self.a = arguments
        self.lock = threading.Condition()
        self.born = now_ms()
        self.started = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.running = {}
        self.ended = []
        self.closed = {}
        self.next_end = 1
        self.sequence = 0
        self.server = Server(self.answer, arguments["port"])
        threading.Thread(target=self.advance_loop, daemon=True).start()
        self.log("start")
        self.beat_loop()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def log(self, what, **more):
        line = json.dumps({"ms": now_ms(), "worker": self.a["id"], "what": what, **more}) + "\n"
        file = os.open(self.a["events"], os.O_WRONLY | os.O_APPEND)
        os.write(file, line.encode())
        os.close(file)

    def beat_loop(self):
        host, port = self.a["beat"].split(":")
        while True:
            self.sequence += 1
            entry = {"id": self.a["id"], "service": self.a["service"],
                     "address": "127.0.0.1:%d" % self.a["port"], "zone": "zone-1", "version": "v1", "slots": 8,
                     "state": "ready", "cold_remaining_ms": 0,
                     "capacity": {"cpu": self.a["cpu"], "memory_request_mb": self.a["memory"], "gpu": 0},
                     "labels": self.a["labels"], "clock_ms": self.clock(), "sequence": self.sequence,
                     "born": self.born}
            try:
                call(int(port), "POST", "/beat", entry, 2.0)
            except OSError:
                os._exit(0)
            time.sleep(self.a["heartbeat_ms"] / 1000)

    def advance_loop(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                self.advance()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run["ms"] is not None and now >= run["at"] + run["ms"] / 1000:
                self.end(task, "done")
        if self.clock() > self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.log("end", task=task, run=run["run"], how=how)
        self.lock.notify_all()

    def free(self, what):
        return self.a[what] - sum(run[what] for run in self.running.values())

    def hold_until(self, deadline):
        if deadline:
            self.deadline = max(self.deadline, min(deadline, self.clock() + self.a["max_hold_ms"]))

    def answer(self, handler, method, path, body):
        if method == "GET":
            return 200, {}
        body = json.loads(body)
        with self.lock:
            self.advance()
            clock = {"clock_ms": self.clock()}
            if handler.headers.get("X-Expected-Instance") not in (None, self.a["id"]):
                return 421, clock
            if body.get("fencing_token", 0) < self.token:
                return 409, {**clock, "reason": "fence"}
            self.token = body.get("fencing_token", 0)
            if path == "/run-start":
                return self.start(body, clock)
            if path == "/run-stop":
                task = body["task"]
                self.closed[task] = max(self.closed.get(task, 0), body["run"])
                if task in self.running and self.running[task]["run"] <= body["run"]:
                    self.end(task, "stopped")
                return 200, clock
            if path == "/pace":
                return 200, clock
            if path != "/hold":
                return 404, {}
            self.hold_until(body.get("deadline_ms"))
            self.ended = [end for end in self.ended if end[0] > body.get("ack_cursor", 0)]
            until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
            while not self.ended and time.monotonic() < until:
                self.lock.wait(until - time.monotonic())
            now = time.monotonic()
            running = []
            for task, run in self.running.items():
                age = now - run["at"]
                percent = min(99, int(age * 1e5 / run["ms"])) if run["ms"] else min(100, int(age * 200))
                running.append([task, run["run"], "", percent, 0 if run["ms"] is None else run["cpu"]])
            return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def start(self, body, clock):
        task, number = body["task"], body["run"]
        if body.get("deadline_ms", 0) <= self.clock():
            return 409, {**clock, "reason": "late"}
        self.hold_until(body["deadline_ms"])
        if task in self.running:
            same = self.running[task]["run"] == number
            return (200, clock) if same else (409, {**clock, "reason": "old"})
        if number <= self.closed.get(task, 0):
            return 409, {**clock, "reason": "old"}
        step = json.loads(body["specification"])[int(task.split(".")[2])]
        cpu = 0 if step.get("fills") else step.get("cpu", 1000)
        if self.free("cpu") < cpu or self.free("memory") < step.get("memory", 0):
            return 409, {**clock, "reason": "room"}
        self.running[task] = {"run": number, "at": time.monotonic(), "ms": step.get("ms"), "cpu": cpu,
                              "memory": step.get("memory", 0)}
        self.log("run", task=task, run=number)
        return 200, clock


if __name__ == "__main__" and sys.argv[1:2] == ["worker"]:
    Worker(json.loads(sys.argv[2]))
