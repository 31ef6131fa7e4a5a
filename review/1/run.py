"""Case 1: the owner of a service is killed while many small tasks run. They end
`done` before the next owner asks, so that each minion has over 500 ends to list."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import Cell, CannotRun, Minion, done_then_started, main, route

JOB = "00000000000000b1"
TASKS = 5000
MINIONS = 2  # of the service that runs the job; the other service has 46


async def case(folder, trouble):
    cell = Cell(folder)
    try:
        await cell.open()
        cell.all_end = None

        def work(task, run, minion):
            # The first runs take about 6 s and end together, later ones 1 s.
            return (max(0.1, cell.all_end - time.monotonic()) if run < 1000 else 1.0), "done"

        size = {"cpu": 64000, "memMb": 131072, "gpus": 0}
        for i in range(MINIONS):
            cell.minions.append(Minion(cell, f"i-{i}", "alpha", size, ["a", f"r1-{i}"], work))
            await cell.minions[-1].start()
        for i in range(46):
            cell.minions.append(Minion(cell, f"j-{i}", "beta", size, ["a", f"r2-{i // 4}"], work))
            await cell.minions[-1].start()
            await asyncio.sleep(cell.heartbeat_s / 46)
        cell.publish(1, [route("q", "alpha"), route("b", "beta")], ["alpha", "beta"])
        for n in (1, 2, 3):
            cell.start_entry(n)
        for n in (1, 2, 3):
            await cell.until("entries are ready", lambda: cell.ready(n))
        owner = await cell.until("an entry owns the service", lambda: cell.owner("alpha"))
        client = next(n for n in (1, 2, 3) if n != owner)
        await asyncio.sleep(2)

        cell.all_end = time.monotonic() + 7
        step = {"count": TASKS, "cpu": 25, "memMb": 32, "estimateMs": 5000}
        code, _ = await cell.call(client, "POST", f"/q/{JOB}", {"spec": "x", "steps": [step]})
        if code != 200:
            raise CannotRun("the job was not accepted")
        ours = cell.minions[:MINIONS]
        await cell.until("all tasks run", lambda: sum(len(m.running) for m in ours) == TASKS, 5.5)
        cell.record("all tasks run:", [len(m.running) for m in ours])
        await asyncio.sleep(max(0, cell.all_end - 1.2 - time.monotonic()))
        if trouble:
            await cell.kill_entry(owner)  # node_kill, on = core, count = 1, how = leader
        end = time.monotonic() + 25
        while time.monotonic() < end:
            _, state = await cell.call(client, "GET", f"/q/{JOB}")
            cell.record("running and unacknowledged ends:", [(len(m.running), len(m.ended)) for m in ours])
            if b"completed" in state:
                break
            await asyncio.sleep(1)
        await asyncio.sleep(1)
        twice = done_then_started(cell)
        cell.record("tasks started after an end `done` that was taken note of:", len(twice), twice[:5])
        if not trouble and b"completed" not in state:
            raise CannotRun("the job did not complete")
        return f"TWICE: {len(twice)} of {TASKS} tasks started after they had ended done" if twice else ""
    finally:
        cell.close()


# TROUBLE=0: the same without the disruption.
main(case, __file__, trouble=os.environ.get("TROUBLE", "1") != "0")
