"""Case 3: SIGHUP with a file that lacks the key `group` of a keyed class."""
import copy
import os
import sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import *

ZONES = ["callao", "ate"]
JOBS = [f"00000000000000b{n}" for n in range(8)]


def lima():
    """Settings like those of lima-callao, but the workers of one zone drop a repeat of a `handover`."""
    position = service("position", "safe", aim_ms=200)
    handover = service("handover", "keyed", deadline_ms=10000, aim_ms=750, window_ms=15000, group="zone")
    return settings([position, handover], kinds=("fast",), areas=ZONES, specifics={"class_kind": [-1, 0]})


async def reload(record, scheduler, process, changed, what):
    scheduler.settings = changed
    scheduler.write_config()
    record("platform", f"the new file {what}")
    scheduler.signal(signal.SIGHUP, process)
    await asyncio.sleep(1.5)


async def case(record, folder, trouble):
    discovery = Discovery(record)
    await discovery.start()
    listen = free_address()
    resets = set()

    def reset_first(message, answer):
        id = message.headers.get("x-trace-id")
        if message.method != "POST" or id in resets:
            return "pass"
        resets.add(id)
        return "reset"

    workers = []
    for zone in ZONES:
        repeats = {}
        for _ in range(2):
            worker = Worker(record, f"s-{len(workers)}", listen, zone=zone, kind="fast", slots=16, run_time=0.8,
                            tells_start=True, start_delay=0.05, repeats=repeats)
            await worker.start()
            await behind_proxy(record, worker, reset_first)
            await discovery.set(worker)
            workers.append(worker)
    scheduler = Scheduler(record, folder, "n0", discovery.address, lima(), listen=listen)
    process = await scheduler.start()
    try:
        if not await scheduler.ready():
            raise CannotRun("the scheduler is not ready")
        await asyncio.sleep(1.2)
        # The first new file adds a class. It is safe to repeat, and its entry has no `group` and no `window`, which
        # are "for `keyed`" (WIRE).
        changed = copy.deepcopy(lima())
        added = service("audit", "safe")
        del added["group"], added["window"]
        changed["services"].append(added)
        changed["specifics"]["class_kind"].append(-1)
        changed["specifics"]["class_priority"].append(0)
        changed["specifics"]["class_stretch"].append(2.0)
        await reload(record, scheduler, process, changed, "adds the class audit")
        # The second new file changes the number of attempts. With the trouble, it lacks one key.
        changed = copy.deepcopy(changed)
        changed["limits"]["max_attempts"] = 5
        if trouble:
            del changed["services"][1]["group"]
        await reload(record, scheduler, process, changed,
                     f"changes max_attempts and {'lacks services[1].group' if trouble else 'is complete'}")
        client = Client(record, listen)
        await asyncio.gather(*[client.job(id, "handover", key=f"k{id}", wait_ms=10000,
                                          extra={"Idempotency-Key": f"key-{id}"}) for id in JOBS])
        await asyncio.sleep(2)
    finally:
        await scheduler.end()
    broken = []
    for id in JOBS:
        ran_at = [f"{worker.name} ({worker.zone})" for worker in workers for run in worker.runs if run == id]
        record("check", f"{id} (class handover, keyed, group zone) ran at {ran_at}, "
                        f"answered {client.answers.get(id)}")
        if len(ran_at) > 1:
            broken.append(f"job {id} of the keyed class ran {len(ran_at)} times, at {', '.join(ran_at)}")
    return broken


main(case, HERE)
