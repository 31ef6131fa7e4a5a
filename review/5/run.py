"""Case 5: the operator removes a route and adds it again with another service,
while an accepted job of the route has work left."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import Cell, CannotRun, Minion, main, route

JOB = "00000000000000a1"
VISIBLE_S, FINISH_S = 3, 14


async def case(folder, trouble):
    cell = Cell(folder)
    try:
        await cell.open()
        for i in range(6):
            cell.minions.append(Minion(cell, f"i-{i}", "alpha" if i < 3 else "beta",
                                       {"cpu": 16000, "memMb": 32768, "gpus": 0}, ["a", f"r1-{i}"],
                                       lambda task, run, m: (1.0, "done")))
            await cell.minions[-1].start()
        services = ["alpha", "beta"]
        other = route("other", "beta")
        cell.publish(1, [route("q", "alpha"), other], services)
        for n in (1, 2, 3):
            cell.start_entry(n)
        for n in (1, 2, 3):
            await cell.until("entries are ready", lambda: cell.ready(n))
        await cell.until("entries own the services", lambda: cell.owner("alpha") and cell.owner("beta"))
        await asyncio.sleep(1)

        # Ten steps of 1 s, one after the other.
        one = {"count": 2, "cpu": 2000, "memMb": 64, "estimateMs": 1000}
        steps = [dict(one, **({"after": [i - 1]} if i else {})) for i in range(10)]
        code, _ = await cell.call(1, "POST", f"/q/{JOB}", {"spec": "x", "steps": steps})
        if code != 200:
            raise CannotRun("the job was not accepted")
        await asyncio.sleep(VISIBLE_S + 0.5)
        await cell.call(2, "GET", f"/q/{JOB}")
        if trouble:
            cell.publish(4, [other], services)
            await asyncio.sleep(3)
            cell.publish(9, [route("q", "beta"), other], services)
        await asyncio.sleep(FINISH_S)
        answers = [(await cell.call(n, "GET", f"/q/{JOB}")) for n in (1, 2, 3)]
        began = sorted({task for m in cell.minions for _, event, task, _ in m.history if event == "begins"})
        idle = not any(m.running for m in cell.minions)
        cell.record("tasks that began:", len(began), "of 20; all minions empty:", idle)
        gone = [code for code, _ in answers].count(410)
        if not trouble and any(b"completed" not in text for _, text in answers):
            raise CannotRun("the job did not complete")
        return (f"LOST: {gone} of 3 entries answer 410 for an accepted job, "
                f"of which {len(began)} of 20 tasks began") if gone else ""
    finally:
        cell.close()


# TROUBLE=0: the same without the disruption.
main(case, __file__, trouble=os.environ.get("TROUBLE", "1") != "0")
