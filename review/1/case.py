"""Workers fail all that they start, one after the other, while each runs a lasting subtask; checks LOST."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from site_standin import Site, check_lost, has_trouble, run_case  # noqa: E402

WORKERS = 9
GREY_S = 4.0
JOBS_PER_SECOND = 8.0
FINISH_S = 14.0


def lasting(count):
    return {"specification": "lasts", "steps": [
        {"count": count, "cpu": 1000, "memory_request_mb": 1024, "estimated_ms": 700, "anti_affinity": 1,
         "long_running": True, "may_miss": 1}]}


USUAL = {"specification": "ms=150", "steps": [
    {"count": 3, "cpu": 900, "memory_request_mb": 512, "estimated_ms": 150}]}


async def main():
    site = Site(os.path.join(HERE, "record.txt"), [("service-a", WORKERS)], 3, logs_runs=False)
    await site.start()
    try:
        site.put_config(1, [("/lasting/", "service-a", 2), ("/q/", "service-a", 3)])
        await asyncio.sleep(1.2)
        await site.start_nodes()
        await asyncio.sleep(1.0)
        for count in (5, 4):
            assert await site.submit(site.nodes[0], "/lasting/", "%016x" % (0xaa + count), lasting(count)) == 200
        await asyncio.sleep(1.0)
        accepted, is_over = [], False

        async def traffic():
            number = 0xd0000
            while not is_over:
                number += 1
                job = "%016x" % number
                if await site.submit(site.nodes[number % 3], "/q/", job, USUAL) == 200:
                    accepted.append(job)
                await asyncio.sleep(1.0 / JOBS_PER_SECOND)

        calls = asyncio.ensure_future(traffic())
        await asyncio.sleep(3.0)
        for worker in site.workers:
            if has_trouble():
                worker.grey_until = site.record.now() + GREY_S
                site.record.write("worker: %s fails all that it starts for %.1f s" % (worker.id, GREY_S))
            await asyncio.sleep(GREY_S + 0.5)
        await asyncio.sleep(6.0)
        is_over = True
        await calls
        site.record.write("end of the traffic; runs that began in the last 5 s: %d" % sum(
            1 for run in site.runs if run.started > site.record.now() - 5.0))
        now = site.record.now()
        for worker in site.workers:
            mine = [run for run in site.runs if run.worker == worker.id]
            site.record.write("worker: %s: %d lasting runs, %d failed runs, begun in the last 5 s: %d" % (
                worker.id, sum(1 for run in worker.running.values() if run.duration > 1e5),
                sum(1 for run in mine if run.how == "failed"), sum(1 for run in mine if run.started > now - 5.0)))
        await asyncio.sleep(FINISH_S)
        # Jobs that have failed with three failed runs are no longer owed.
        failed = {run.task.split(".")[0] for run in site.runs if run.how == "failed" and sum(
            1 for other in site.runs if other.task == run.task and other.how == "failed") >= 3}
        unknown, idle, counts = await check_lost(site, [("/q/", job) for job in accepted if job not in failed])
        for line in site.node_logs("event=run_failed")[-3:]:
            site.record.write("log: " + line[:220])
        print("accepted %d, failed with cause %d, states %s, idle %d, unknown %d" % (
            len(accepted), len(failed), counts, len(idle), len(unknown)))
        return 1 if idle or unknown else 0
    finally:
        await site.stop()


run_case(main)
