"""Two tasks that last, a large one and a small one, lose their minion for good. Only
one other minion may run them. It has room for the small one eight times over, but
not for the large one until a task that works there has ended. Looks for 3 s in
which the small one doesn't run."""
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from standins import Minion, now, play, route

MINIONS, CAPACITY = 10, 16000
BATCH, LARGE, SMALL = f"{0xB001:016x}", f"{0xB002:016x}", f"{0xB003:016x}"
CPU = {BATCH: 8000, LARGE: 9000, SMALL: 1000}
BATCH_S = 60.0
CALM_S, NOTHING_S, SINCE_LAST_RUN_S = 4.0, 3.0, 6.0  # As in the rule.


def case(cell, trouble):
    service, queue = "planner", "q-monitors"
    job_of = lambda task: task.split(".")[0]
    for number in range(MINIONS):
        cell.minions.append(Minion(cell.store, cell.record, f"i-{number:02d}", service, "b" if number < 2 else "a",
                                   f"r{number // 5}", cpu=CAPACITY, mem=32768, durations=lambda task: BATCH_S,
                                   lasting=lambda task: job_of(task) in (LARGE, SMALL)))
    cell.publish(1, [route(queue, service)], [{"name": service}])
    cell.start_entries()

    def host(job):
        """The minion that runs the job's task; None if there is none."""
        for m in cell.minions:
            with m.changed:
                if not m.dead and any(job_of(task) == job for task in m.running):
                    return m

    for number, job in enumerate((BATCH, LARGE, SMALL)):
        step = {"count": 1, "cpu": CPU[job], "memMb": 1024, "estimateMs": 60000 if job == BATCH else 300, "requirements": "b"}
        if job != BATCH:
            step.update(longRunning=True, image=job)
        cell.client(number, "POST", f"/{queue}/{job}", json.dumps({"spec": "x", "steps": [step]}))
        cell.wait(f"{job} runs", lambda: host(job), 20)
    lost, left = host(LARGE), host(BATCH)
    if host(SMALL) is not lost or left is lost:
        cell.wait("the two tasks that last share a minion", lambda: False, 0)
    time.sleep(4)
    if trouble:
        lost.crash()
    crashed = time.monotonic()

    idle_since, broken = None, ""
    while time.monotonic() < crashed + 35:
        time.sleep(0.05)
        if time.monotonic() < crashed + max(CALM_S, SINCE_LAST_RUN_S):
            continue
        with left.changed:
            used = sum(CPU[job_of(task)] for task in left.running)
        free = CAPACITY - used
        idle = not host(SMALL) and free >= 2 * CPU[SMALL] and used * 2 <= CAPACITY * (MINIONS - 1)
        idle_since = (idle_since or time.monotonic()) if idle else None
        if idle_since and not broken and time.monotonic() - idle_since > NOTHING_S:
            broken = (f"LOST: for {NOTHING_S} s until {now():.1f} s nothing of job {SMALL} runs, {free} of {CAPACITY} "
                      f"thousandths of a core are free on {left.name}, which may run it; it needs {CPU[SMALL]}")
            cell.record.write(broken)
    cell.client(0, "GET", f"/{queue}/{SMALL}")
    cell.record.write(f"at the end, {round(time.monotonic() - crashed)} s after the crash, the small task runs on "
                      f"{host(SMALL).name if host(SMALL) else 'no minion'}")
    return broken


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    play(pathlib.Path(__file__).parent, case, os.environ.get("TROUBLE", "1") != "0")
