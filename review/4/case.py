"""The only worker that a job may run on fails what it starts for a while; checks LOST."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from site_standin import Site, check_lost, has_trouble, run_case  # noqa: E402

GREY_S = 4.0
FINISH_S = 14.0
JOB = {"specification": "ms=300", "steps": [
    {"count": 1, "cpu": 1000, "memory_request_mb": 512, "estimated_ms": 300, "requirements": "kind-b"}]}
USUAL = {"specification": "ms=150", "steps": [
    {"count": 3, "cpu": 900, "memory_request_mb": 512, "estimated_ms": 150}]}


async def main():
    site = Site(os.path.join(HERE, "record.txt"), [("service-a", 9)], 3)
    await site.start()
    try:
        special = site.workers[4]
        special.labels = ["kind-b", special.rack]
        site.record.write("worker: %s is the only one of kind-b" % special.id)
        site.put_config(1, [("/q/", "service-a", 3)])
        await asyncio.sleep(1.2)
        await site.start_nodes()
        await asyncio.sleep(2.0)
        accepted = []
        if has_trouble():
            special.grey_until = site.record.now() + GREY_S
            site.record.write("worker: %s fails all that it starts for %.1f s" % (special.id, GREY_S))
        for number in range(40):
            body = JOB if number in (2, 4) else USUAL
            job = "%016x" % (0xe0000 + number)
            if await site.submit(site.nodes[number % 3], "/q/", job, body, " (kind-b)" if body is JOB else "") == 200:
                accepted.append(("/q/", job))
            await asyncio.sleep(0.25)
        site.record.write("end of the traffic")
        await asyncio.sleep(FINISH_S)
        unknown, idle, counts = await check_lost(site, accepted)
        for line in site.node_logs("event=run_failed")[-3:]:
            site.record.write("log: " + line[:220])
        print("accepted %d, states %s, idle %d, unknown %d" % (len(accepted), counts, len(idle), len(unknown)))
        return 1 if idle or unknown else 0
    finally:
        await site.stop()


run_case(main)
