"""Case 3: discovery takes 0.6 s to write each answer, and a worker begins to drain."""
import os
import sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import *

# How long discovery takes to write the body of an answer, in seconds.
WRITE_TIME = 0.6
# `stop_sending_within` of the settings, and the 50 ms that PROTOCOL adds to every time limit.
GRACE = 0.5 + 0.05
# "a change counts as told at the latest 6 s after discovery had it and could be reached" (STANDING).
TOLD_AT_LATEST = 6.0
LOAD_FOR = 16.0


async def case(record, folder, trouble):
    discovery = Discovery(record)
    await discovery.start()
    listen = free_address()
    workers = [Worker(record, f"s-{n}", listen, zone=["callao", "ate", "chorrillos"][n % 3], kind="fast",
                      slots=4, run_time=0.1, tells_start=True) for n in range(6)]
    for worker in workers:
        await worker.start()
        await discovery.set(worker)
    classes = [service("position", "safe", aim_ms=200), service("handover", "keyed", deadline_ms=10000)]
    lima = settings(classes, kinds=("fast",), areas=("callao", "ate", "chorrillos"))
    scheduler = Scheduler(record, folder, "n0", discovery.address, lima, listen=listen)
    await scheduler.start()
    try:
        if not await scheduler.ready():
            raise CannotRun("the scheduler is not ready")
        client, jobs = Client(record, listen), []
        end = record.now() + LOAD_FOR
        await asyncio.sleep(1)
        if trouble:
            record("discovery", f"writes each answer in pieces over {WRITE_TIME} s from now on")
            discovery.write_time = WRITE_TIME
        drains = False
        while record.now() < end:
            if not drains and record.now() > 2.5:
                drains, drains_at = True, record.now()
                await discovery.set(workers[0], "draining")
            number = len(jobs)
            jobs.append(asyncio.create_task(client.job(f"{number + 1:016x}", "position", key=f"k{number}")))
            await asyncio.sleep(0.05)
        await asyncio.gather(*jobs)
    finally:
        await scheduler.end()
    written = discovery.told_at.get((workers[0].name, "draining"), float("inf"))
    told = min(written, drains_at + TOLD_AT_LATEST)
    late = [(at, id) for at, id in workers[0].attempts if at > told + GRACE]
    record("check", f"{workers[0].name} drains from {drains_at:.3f}, which counts as told at {told:.3f}; {len(late)} "
                    f"attempts there after {told + GRACE:.3f}")
    return [f"{len(late)} attempts at a draining worker, the last {late[-1][0] - told:.1f} s after its drain counted "
            f"as told"] if late else []


main(case, HERE)
