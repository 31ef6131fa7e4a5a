"""Case 3: a client hands in a repeated job whose occurrences overlap. Its stored
progress outgrows a record of the store; from then on no end of any job of the
service is taken note of. TROUBLE=0: a third of the occurrences."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import Cell, CannotRun, Minion, main, route

REPEATED, BEFORE, AFTER = "00000000000000b1", "00000000000000a1", "00000000000000a2"
STEPS = 250


async def case(folder, trouble):
    cell = Cell(folder)
    try:
        await cell.open()
        for i in range(8):
            cell.minions.append(Minion(cell, f"i-{i}", "alpha", {"cpu": 64000, "memMb": 131072, "gpus": 0},
                                       ["a", f"r1-{i}"], lambda task, run, m: (0.4, "done")))
            await cell.minions[-1].start()
        cell.publish(1, [route("q", "alpha", priority=0), route("timed", "alpha", priority=2)], ["alpha"])
        for n in (1, 2, 3):
            cell.start_entry(n)
        for n in (1, 2, 3):
            await cell.until("entries are ready", lambda: cell.ready(n))
        await cell.until("an entry owns the service", lambda: cell.owner("alpha"))
        await asyncio.sleep(1)

        step = {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 400}
        plain = {"spec": "x", "steps": [step, dict(step, after=[0])]}
        await cell.call(1, "POST", f"/q/{BEFORE}", plain)
        await asyncio.sleep(3)
        if b"completed" not in (await cell.call(2, "GET", f"/q/{BEFORE}"))[1]:
            raise CannotRun("a plain job does not complete before the trouble")

        # A pipeline of 250 steps of one task each, every 30 ms.
        one = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 400}
        steps = [dict(one, **({"after": [i - 1]} if i else {})) for i in range(STEPS)]
        repeated = {"spec": "x", "repeatCount": 300 if trouble else 100,
                    "startAtMs": int(time.time() * 1000) + 1000, "intervalMs": 30, "steps": steps}
        code, _ = await cell.call(1, "POST", f"/timed/{REPEATED}", repeated)
        if code != 200:
            return ""  # Refused: nothing was accepted.
        await asyncio.sleep(25)
        cell.record("running, unacknowledged ends:", [(len(m.running), len(m.ended)) for m in cell.minions])
        code, _ = await cell.call(2, "POST", f"/q/{AFTER}", plain)
        if code != 200:
            return ""
        await asyncio.sleep(12)
        idle, state = True, b""
        for _ in range(12):
            _, state = await cell.call(2, "GET", f"/q/{AFTER}")
            idle = idle and not any(key[0].startswith(AFTER) for m in cell.minions for key in m.running)
            if b"completed" in state:
                return ""
            await asyncio.sleep(0.25)
        in_use = sum(500 * len(m.running) for m in cell.minions) / (8 * 64000)
        began = sorted({task for m in cell.minions for _, e, task, _ in m.history
                        if e == "begins" and task.startswith(AFTER)})
        done = sorted({task for m in cell.minions for _, e, task, _ in m.history
                       if e == "done" and task.startswith(AFTER)})
        cell.record("the plain job for 3 s:", state.decode(), "nothing of it runs:", idle, "began:", began,
                    "done:", done, "capacity in use:", in_use)
        cell.record("running, unacknowledged ends:", [(len(m.running), len(m.ended)) for m in cell.minions])
        cell.record("appends refused by the store:", len(cell.store.refused))
        broken = idle and in_use < 0.5
        return "LOST: nothing of an accepted job runs while its turn has come and there is room" if broken else ""
    finally:
        cell.close()


# TROUBLE=0: the same without the disruption.
main(case, __file__, trouble=os.environ.get("TROUBLE", "1") != "0")
