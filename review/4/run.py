"""Case 4: an idle minion is killed and starts again within half a second, under
its id and address. A second later it gets a task, and is cut off for 5.5 s."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import Cell, CannotRun, Minion, main, route

JOB = "00000000000000a1"
CUT_S = 5.5
WORK_S = 12.0


async def case(folder, trouble):
    cell = Cell(folder)  # holdMaxMs is 10,000, as in dcdv-verdes
    stop = False
    try:
        await cell.open()
        for i in range(12):
            # The smallest one fits the task best.
            cell.minions.append(Minion(cell, f"i-{i:02d}", "alpha",
                                       {"cpu": 4000 if i == 0 else 16000, "memMb": 8192, "gpus": 0}, ["a", f"r1-{i}"],
                                       lambda task, run, m: (WORK_S if task.startswith(JOB) else 0.1, "done")))
            await cell.minions[-1].start()
        minion = cell.minions[0]
        cell.publish(1, [route("q", "alpha")], ["alpha"])
        for n in (1, 2, 3):
            cell.start_entry(n)
        for n in (1, 2, 3):
            await cell.until("entries are ready", lambda: cell.ready(n))
        await cell.until("an entry owns the service", lambda: cell.owner("alpha"))

        async def traffic():
            number = 0
            while not stop:
                number += 1
                step = {"count": 1, "cpu": 8000, "memMb": 64, "estimateMs": 100}
                await cell.call(1 + number % 3, "POST", f"/q/{number:016x}", {"spec": "x", "steps": [step]}, quiet=True)
                await asyncio.sleep(0.15)

        async def watch():
            """Seconds in which two runs of the task went on at the same time."""
            both, last = 0.0, time.monotonic()
            while not stop:
                await asyncio.sleep(0.02)
                now = time.monotonic()
                if sum(key[0].startswith(JOB) for m in cell.minions for key in m.running) > 1:
                    both += now - last
                last = now
            return both

        async def expire():
            """The store drops an entry after three heartbeats of silence."""
            await asyncio.sleep(max(0, minion.last_beat + 3 * cell.heartbeat_s - time.monotonic()))
            if minion.cut:
                cell.store.remove("keyed.servers", minion.id)

        background = [asyncio.ensure_future(traffic())]
        both = asyncio.ensure_future(watch())
        await asyncio.sleep(15)
        if trouble:
            holds = minion.holds
            await cell.until("the minion is asked", lambda: minion.holds > holds)
            await asyncio.sleep(0.1)
            minion.crash()
            await asyncio.sleep(0.4)
            await minion.start()
        await asyncio.sleep(1.0)
        step = {"count": 1, "cpu": 4000, "memMb": 64, "estimateMs": int(WORK_S * 1000)}
        code, _ = await cell.call(1, "POST", f"/q/{JOB}", {"spec": "x", "steps": [step]})
        if code != 200:
            raise CannotRun("the job was not accepted")
        await cell.until("the task begins", lambda: minion.running, 5)
        await asyncio.sleep(0.3)
        cell.record("lease of", minion.id, "for another", round(minion.lease_end - time.monotonic(), 2), "s")
        if trouble:
            minion.cut_off()
            background.append(asyncio.ensure_future(expire()))
        await asyncio.sleep(CUT_S)
        if trouble:
            minion.heal()
        await asyncio.sleep(10)
        stop = True
        seconds = await both
        for b in background:
            await b
        cell.record("two runs of the task at the same time:", round(seconds, 2), "s")
        return f"TWICE: two runs of one task for {seconds:.2f} s" if seconds > 0.1 else ""
    finally:
        stop = True
        cell.close()


# TROUBLE=0: the same without the disruption.
main(case, __file__, trouble=os.environ.get("TROUBLE", "1") != "0")
