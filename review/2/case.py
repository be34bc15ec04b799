"""The config grows by many routes, and jobs come on them; checks LOST for jobs accepted before."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from site_standin import Site, call, check_lost, has_trouble, run_case  # noqa: E402

NEW_ROUTES = 1020
ROUTES_A_CHANGE = 340
PER_SECOND = 32
FINISH_S = 14.0
SMALL = {"specification": "ms=20", "steps": [
    {"count": 1, "cpu": 200, "memory_request_mb": 64, "estimated_ms": 25}]}
# One subtask of 38 s, and then 100 short ones.
LARGE = {"specification": "ms=100 first=38000", "steps": [
    {"count": 1, "cpu": 100, "memory_request_mb": 64, "estimated_ms": 38000},
    {"count": 100, "cpu": 200, "memory_request_mb": 64, "estimated_ms": 100, "after": [0]}]}
LONG = {"specification": "ms=100000", "steps": [
    {"count": 1, "cpu": 100, "memory_request_mb": 64, "estimated_ms": 100000}]}
USUAL = [("/q/", "service-a", 3)]


async def main():
    site = Site(os.path.join(HERE, "record.txt"), [("service-a", 4)], 3, logs_runs=False)
    await site.start()
    try:
        site.put_config(1, USUAL)
        await asyncio.sleep(1.2)
        await site.start_nodes()
        await asyncio.sleep(1.0)
        accepted, to_cancel = [], []
        for number in range(40):
            job = "%016x" % (0xa000 + number)
            if await site.submit(site.nodes[number % 3], "/q/", job, LARGE) == 200:
                accepted.append(("/q/", job))
        for number in range(10):
            job = "%016x" % (0xb000 + number)
            if await site.submit(site.nodes[number % 3], "/q/", job, LONG) == 200:
                to_cancel.append(job)
        prefixes = ["/q/"] * NEW_ROUTES
        if has_trouble():
            prefixes = ["/new-%04d/" % number for number in range(NEW_ROUTES)]
            for change in range(NEW_ROUTES // ROUTES_A_CHANGE):
                known = prefixes[:(change + 1) * ROUTES_A_CHANGE]
                site.put_config(2 + change, USUAL + [(prefix, "service-a", 3) for prefix in known])
                await asyncio.sleep(0.7)
        await asyncio.sleep(1.5)
        refused, calls = [], []

        async def hand_in(number):
            job = "%016x" % (0xc0000 + number)
            for attempt in range(4):
                node = site.nodes[(number + attempt) % 3]
                status = await site.submit(node, prefixes[number], job, SMALL)
                if status == 200:
                    accepted.append((prefixes[number], job))
                    return
                await asyncio.sleep(1.0)
            refused.append(job)

        for number in range(NEW_ROUTES):
            calls.append(asyncio.ensure_future(hand_in(number)))
            await asyncio.sleep(1.0 / PER_SECOND)
        await asyncio.gather(*calls)
        await asyncio.sleep(max(0.0, 46.0 - site.record.now()))
        row = site.store.value("ledger", "service-a/0", "workers")
        site.record.write("end of the traffic; %d of %d jobs refused; the stored row ledger/service-a/0/workers has %s "
                          "bytes; ends that workers list: %s" % (len(refused), NEW_ROUTES, len(row or b""),
                                                                [len(worker.ended) for worker in site.workers]))

        async def cancel(number, job):
            """Cancels a job; repeats that until `ack_timeout_ms`."""
            until = site.record.now() + 4.0
            answers = []
            while site.record.now() < until:
                status, _ = await call(site.nodes[number % 3].front, "DELETE", "/q/" + job, timeout=3.0)
                answers.append(status)
                if 200 <= status < 300 or status == 410:
                    break
                await asyncio.sleep(0.5)
            site.record.write("client: DELETE /q/%s: %s" % (job, answers))
            return 200 <= answers[-1] < 300 or answers[-1] == 410

        acks = await asyncio.gather(*[cancel(number, job) for number, job in enumerate(to_cancel)])
        site.record.write("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after 4 s" % (
            acks.count(False), len(acks)))
        await asyncio.sleep(FINISH_S - 4.0)
        unknown, idle, counts = await check_lost(site, accepted)
        for line in site.node_logs("commit_rejected")[:3]:
            site.record.write("log: " + line[:300])
        print("accepted %d, refused %d, states %s, idle %d, unknown %d, unacknowledged cancels %d" % (
            len(accepted), len(refused), counts, len(idle), len(unknown), acks.count(False)))
        return 1 if idle or unknown else 0
    finally:
        await site.stop()


run_case(main)
