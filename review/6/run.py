"""Twenty jobs come; one is due in each minute of a year that has passed. The others must be done."""
import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "site2"))
sys.dont_write_bytecode = True
import site2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")
PREFIX = "/night/"
MEMORY_MB = 260
RESTART_S = 0.5
FINISH_S = 14
WORKERS, CPU = 6, 16000
MINUTES = 365 * 24 * 60


def resident_mb(process):
    try:
        with open("/proc/%d/status" % process.pid) as lines:
            for line in lines:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class MemoryLimit(threading.Thread):
    """Does what the platform does with a process that exceeds `memory_mb`: it is killed, and started again after
    a short delay."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site = site
        self.kills = 0
        self.ended = False
        self.exits = 0

    def run(self):
        starts = {}
        while not self.ended:
            time.sleep(0.02)
            for name, node in self.site.nodes.items():
                process = node["process"]
                if name in starts:
                    if time.time() >= starts[name]:
                        del starts[name]
                        self.site.start_node(name)
                    continue
                size = resident_mb(process)
                if process.poll() is not None:
                    self.exits += 1
                    self.site.note("platform: %s has ended by itself" % name)
                elif size > MEMORY_MB:
                    self.kills += 1
                    self.site.note("platform: %s has %d MB, over %d MB" % (name, size, MEMORY_MB))
                    self.site.signal_node(name, signal.SIGKILL)
                else:
                    continue
                starts[name] = time.time() + RESTART_S


def idle_window(site, job, cpu, since, until):
    """Returns the start of 3 s in which the job had nothing running and less than half of the capacity was in
    use, with room for twice what the job needs; None if there is none. Looks from `since` to `until`."""
    used, own, quiet, at = {}, set(), None, None
    events = [e for e in site.runs() if e["ms"] / 1000 <= until] + [{"ms": until * 1000, "what": "look"}]
    for event in events:
        now = event["ms"] / 1000
        if quiet is not None and now - max(quiet, since) >= 3:
            return max(quiet, since)
        key = (event.get("worker"), event.get("task"))
        if event["what"] == "run":
            used[key] = cpu
            own |= {key} if event["task"].startswith(job) else set()
        elif event["what"] == "end":
            used.pop(key, None)
            own.discard(key)
        elif event["what"] == "crash":
            used = {k: v for k, v in used.items() if k[0] != event["worker"]}
        free = WORKERS * CPU - sum(used.values())
        is_quiet = not own and free > WORKERS * CPU / 2 and free >= 2 * cpu
        quiet = (now if quiet is None else quiet) if is_quiet else None
    return at


def work(site, limit):
    site.store.put("op", "config", site2.config([site2.route("night", PREFIX, "diary")], [site2.service("diary")]))
    for number in range(1, WORKERS + 1):
        site.add_worker("w%d" % number, "diary", "r1-%d" % (1 + number // 5), cpu=CPU)
    for number in range(1, 8):
        site.add_node("front-%d" % number)
    site.wait_ready()
    time.sleep(1)
    limit.start()
    first = {"count": 2, "cpu": 2000, "memory_request_mb": 64, "estimated_ms": 2500}
    steps = [first, {**first, "after": [0]}]
    specification = json.dumps([{"ms": 2500, "cpu": 2000, "memory": 64}] * 2)
    accepted = []
    names = list(site.nodes)
    for number in range(1, 21):
        identifier = "%016x" % (0x5c0e7a2100000000 + number)
        job = {"specification": specification, "steps": steps}
        if number == 11:
            if not TROUBLE:
                continue
            job["steps"] = [first]
            job.update(repetitions=MINUTES, interval_ms=60000, first_run_ms=int(time.time() - MINUTES * 60) * 1000)
        for attempt in range(5):
            status, _ = site.submit(names[(number + attempt) % len(names)], PREFIX, identifier, job)
            if status == 200:
                if number != 11:
                    accepted.append(identifier)
                break
            time.sleep(0.2)
        time.sleep(0.3)
    site.note("the traffic ends; %d ordinary jobs were accepted" % len(accepted))
    time.sleep(FINISH_S)
    asked = time.time()
    end, open_jobs = asked + 12, list(accepted)
    states, answered = {}, set()
    while open_jobs and time.time() < end:
        for identifier in list(open_jobs):
            status, state = site.state(PREFIX, identifier, timeout=1.0, quiet=True)
            if (status, state) != states.get(identifier):
                states[identifier] = status, state
                site.note("client: GET %s -> %s %s" % (identifier, status, state))
            if status == 200:
                answered.add(identifier)
            if state == "completed":
                open_jobs.remove(identifier)
            if time.time() > end:
                break
        time.sleep(0.2)
    lost = []
    for identifier in open_jobs:
        if identifier not in answered:
            lost.append(identifier)
            site.note("%s: no answer" % identifier)
            continue
        at = idle_window(site, identifier, 2000, asked, time.time())
        if at is not None:
            lost.append(identifier)
            site.note("%s: from %.3f on, nothing of it runs for 3 s, though there is room" % (identifier, at - site.start))
    site.note("ordinary jobs: %d accepted, %d not completed, %d lost; processes over %d MB: %d, ended by themselves: %d"
              % (len(accepted), len(open_jobs), len(lost), MEMORY_MB, limit.kills, limit.exits))
    if len(accepted) < 5:
        return 2
    return 1 if lost else 0


def main():
    if os.path.exists(RECORD):
        os.remove(RECORD)
    directory = tempfile.mkdtemp(prefix="review-6-")
    site = site2.Site(directory, RECORD, bounds={"finish_s": FINISH_S})
    limit = MemoryLimit(site)
    try:
        result = work(site, limit)
    except site2.Unready as error:
        site.note(str(error))
        result = 2
    finally:
        limit.ended = True
        time.sleep(0.1)
        site.stop()
    site.note_runs()
    site.note("result %d" % result)
    if os.environ.get("KEEP"):
        print(directory)
    else:
        shutil.rmtree(directory)
    return result


if __name__ == "__main__":
    sys.exit(main())
