"""A route moves to another service, all processes are killed right after that config is acknowledged, and
the request of an accepted job arrives again; checks TWICE."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from site_standin import Site, has_trouble, run_case  # noqa: E402

DOWN_S = 1.0
JOB = "5c0e7a21d94b36f8"
BODY = {"specification": "ms=12000", "steps": [
    {"count": 4, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 12000}]}


async def main():
    site = Site(os.path.join(HERE, "record.txt"), [("service-a", 4), ("service-b", 4)], 3)
    await site.start()
    try:
        site.put_config(1, [("/q/", "service-a", 3), ("/other/", "service-b", 3)])
        await asyncio.sleep(1.2)
        await site.start_nodes()
        await asyncio.sleep(2.0)
        status = 0
        while status != 200:
            status = await site.submit(site.nodes[0], "/q/", JOB, BODY)
        await asyncio.sleep(1.0)
        # The route is removed, and added again for another service.
        site.put_config(2, [("/other/", "service-b", 3)])
        await asyncio.sleep(0.8)
        site.put_config(3, [("/other/", "service-b", 3), ("/q/", "service-b", 3)])
        if has_trouble():
            for node in site.nodes:
                site.kill(node)
            await asyncio.sleep(DOWN_S)
            for node in site.nodes:
                site.launch(node)
        else:
            await asyncio.sleep(DOWN_S)
        for node in site.nodes:
            await site.wait_ready(node)
        await asyncio.sleep(2.5)
        # "Occasionally, such a request also arrives seconds after the 2xx response for that ID."
        for attempt in range(4):
            status = await site.submit(site.nodes[1], "/q/", JOB, BODY, " again, after its 2xx")
            if status == 200 or 400 <= status < 429:
                break
            await asyncio.sleep(0.7)
        for _ in range(16):
            await asyncio.sleep(1.0)
        overlaps = []
        for first in site.runs:
            for second in site.runs:
                if first is not second and first.task == second.task and first.started <= second.started:
                    if first.ended is None or second.started < first.ended:
                        overlaps.append((first, second))
        for first, second in overlaps:
            site.record.write("rule TWICE: %s runs on %s from %.3f to %s and on %s from %.3f to %s" % (
                first.task, first.worker, first.started, first.ended, second.worker, second.started, second.ended))
        again = [run for run in site.runs if any(
            other.task == run.task and other is not run and other.how == "done" and other.ended <= run.started
            for other in site.runs)]
        site.record.write("runs %d of %d subtasks; TWICE: %d pairs of runs at the same time, %d starts after done"
                          % (len(site.runs), len({run.task for run in site.runs}), len(overlaps), len(again)))
        for line in site.node_logs("event=job_submitted", "event=run_adopted", "event=config_taken")[:30]:
            site.record.write("log: " + line[:220])
        print("runs %d, overlaps %d" % (len(site.runs), len(overlaps)))
        return 1 if overlaps else 0
    finally:
        await site.stop()


run_case(main)
