"""A burst while the stored progress of a repeated job is too large for a row; checks LOST for the other jobs."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from site_standin import Site, check_lost, has_trouble, run_case  # noqa: E402

TRAFFIC_S = 62.0
FINISH_S = 14.0
REPETITIONS = 1950
INTERVAL_MS = 20
JOBS_PER_SECOND = 12.0
# The burst comes when the repeated job has run some 1,450 times.
BURST_AT_S = 29.0
BURST_S = 6.3
BURST_X = 2.6
ORDINARY = {"specification": "ms=200", "steps": [
    {"count": 4, "cpu": 500, "memory_request_mb": 100, "estimated_ms": 200},
    {"count": 2, "cpu": 500, "memory_request_mb": 100, "estimated_ms": 200, "after": [0]}]}


async def main():
    site = Site(os.path.join(HERE, "record.txt"), [("service-a", 4)], 3, logs_runs=False)
    await site.start()
    try:
        site.put_config(1, [("/q/", "service-a", 3)])
        await asyncio.sleep(1.2)
        await site.start_nodes()
        accepted = []
        repeated = "1000000000000000"
        body = {"specification": "ms=5", "repetitions": REPETITIONS, "interval_ms": INTERVAL_MS,
                "first_run_ms": int(time.time() * 1000) + 500,
                "steps": [{"count": 1, "cpu": 100, "memory_request_mb": 10, "estimated_ms": 5}]}
        assert await site.submit(site.nodes[0], "/q/", repeated, body, " (a repeated job)") == 200
        start = site.record.now()
        number, calls = 0, []

        async def hand_in(number):
            job = "%016x" % (number * 0x0123456789abcdef % (1 << 64))
            if await site.submit(site.nodes[number % 3], "/q/", job, ORDINARY) == 200:
                accepted.append(job)

        in_burst = False
        while site.record.now() - start < TRAFFIC_S:
            number += 1
            calls.append(asyncio.ensure_future(hand_in(number)))
            was_in_burst, in_burst = in_burst, has_trouble() and (
                BURST_AT_S <= site.record.now() - start < BURST_AT_S + BURST_S)
            if in_burst != was_in_burst:
                site.record.write("clients: the burst of %.1f times the traffic %s"
                                  % (BURST_X, "begins" if in_burst else "ends"))
            await asyncio.sleep(1.0 / JOBS_PER_SECOND / (BURST_X if in_burst else 1.0))
            if number % 60 == 0:
                size = site.store.value("progress", "service-a/0", repeated)
                done = sum(1 for run in site.runs if run.task.startswith(repeated) and run.how == "done")
                site.record.write("state: the repeated job has run %d times, its stored progress has %s bytes; ends that "
                                  "workers list: %s" % (done, len(size or b""), [len(w.ended) for w in site.workers]))
        await asyncio.gather(*calls)
        site.record.write("end of the traffic")
        await asyncio.sleep(FINISH_S)
        unknown, idle, counts = await check_lost(site, [("/q/", job) for job in accepted])
        for line in site.node_logs("commit_rejected")[:2]:
            site.record.write("log: " + line[:300])
        print("accepted %d, states %s, idle %d, unknown %d" % (len(accepted), counts, len(idle), len(unknown)))
        return 1 if idle or unknown else 0
    finally:
        await site.stop()


run_case(main)
