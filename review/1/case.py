"""Case 1: the answer to a worker's call `returned` is lost, and the worker repeats the call."""
import os
import sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import *

JOBS = [f"00000000000000a{n}" for n in range(4)]
# How long both workers are full with the jobs of other schedulers, from the moment the jobs are sent.
FULL_FOR = 0.15
# How long a job runs, in seconds: four to eight times the mean of the class, whose work varies by 2 to 2.8 times
# its mean (`cv` in the site file).
RUN_TIME = 0.8


def gebeya():
    """Settings like those of gebeya-main: workers tell progress but no starts, schedulers share nothing."""
    classes = [service("search", "safe", aim_ms=200, late_share=0.0),
               service("send-message", "unsafe", aim_ms=200, late_share=0.0)]
    accounts = [{"name": name, "allowance_per_s": 50.0, "fraction": share}
                for name, share in [("vehicles", 0.46), ("housing", 0.26), ("jobs", 0.21), ("household", 0.07)]]
    return settings(
        classes, accounts=accounts,
        limits={"conn_idle": 15000000, "max_attempts": 4, "may_probe": True, "cpu_us_per_s": 500000},
        rules={"stop_sending_within": 3000000, "fall": 3000000, "start_capacity": 0.14},
        specifics={"class_stretch": [2.5, 1.75], "class_priority": [1, 0], "notes": "2 share done",
                   "tells_start": False},
        stats={"fields": ["queue", "inflight", "x0"], "via": "on_probe"}, over_share_worth=0.05)


async def case(record, folder, trouble):
    discovery = Discovery(record)
    await discovery.start()
    listen = free_address()
    lost = set()

    def answer_is_lost(call):
        first = call["state"] == "returned" and call["id"] not in lost
        if first:
            lost.add(call["id"])
        return trouble and first

    network = AnswerDroppingProxy(record, listen, answer_is_lost)
    await network.start()
    full_until = float("inf")
    workers = [Worker(record, f"s-{n}", network.address, slots=8, run_time=RUN_TIME, progress=1.0)
               for n in range(2)]
    for worker in workers:
        # A worker that is full turns a job away: it answers 202, then hands the job back unstarted.
        worker.may_take = lambda job: record.now() > full_until
        await worker.start()
        await discovery.set(worker)
    scheduler = Scheduler(record, folder, "n0", discovery.address, gebeya(), listen=listen)
    await scheduler.start()
    try:
        if not await scheduler.ready():
            raise CannotRun("the scheduler is not ready")
        client = Client(record, listen)
        full_until = record.now() + FULL_FOR
        headers = {"X-Customer": "vehicles", "X-Size-Hint": str(int(RUN_TIME * 1e6))}
        await asyncio.gather(*[client.job(id, "send-message", key=f"k{id}", extra=headers) for id in JOBS])
        await asyncio.sleep(2)
    finally:
        await scheduler.end()
    broken = []
    for id in JOBS:
        ran_at = [worker.name for worker in workers for run in worker.runs if run == id]
        record("check", f"{id} (class send-message, unsafe) ran at {ran_at}, answered {client.answers.get(id)}")
        if len(ran_at) > 1:
            broken.append(f"job {id} of the unsafe class ran {len(ran_at)} times, at {', '.join(ran_at)}")
    return broken


main(case, HERE)
