"""Case 2: a rolling restart of two entries; the answer of the store to one
write, the first owner's release of its service, is lost and the write is done
5 s later."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import Cell, CannotRun, Minion, main, route

JOB, FILL, FIRST, URGENT = "00000000000000b1", "00000000000000c1", "00000000000000d1", "00000000000000c2"
FINISH_S = 14  # bounds.finish_s
ENTRIES = (1, 2, 3, 4)


def job(**step):
    return {"spec": "x", "steps": [dict({"count": 1, "cpu": 4000, "memMb": 64, "estimateMs": 2000}, **step)]}


async def case(folder, trouble):
    cell = Cell(folder)
    began = []  # runs of JOB that began
    try:
        await cell.open()

        def work(task, run, minion):
            name = task.split(".")[0]
            if name == FILL:
                return max(0.1, cell.fill_end - time.monotonic()), "done"
            if name == FIRST:
                return max(0.1, cell.first_end - time.monotonic()), "done"
            if name == URGENT:
                return 4.0, "done"
            began.append((run, minion.id))
            return 0.5, ("failed" if len(began) == 1 else "done")

        for i in range(8):
            cpu, kind = (4000, "b") if i == 0 else (16000, "a")
            cell.minions.append(Minion(cell, f"i-{i}", "alpha", {"cpu": cpu, "memMb": 32768, "gpus": 0},
                                       [kind, f"r1-{i}"], work))
            await cell.minions[-1].start()
        cell.publish(1, [route("q", "alpha", priority=1), route("urgent", "alpha", priority=0)], ["alpha"])
        for n in ENTRIES:
            cell.start_entry(n)
        for n in ENTRIES:
            await cell.until("entries are ready", lambda: cell.ready(n))
        first = await cell.until("an entry owns the service", lambda: cell.owner("alpha"))
        await asyncio.sleep(3)

        # A burst of urgent work fills the service for 10 s; JOB waits.
        now = time.monotonic()
        cell.fill_end, cell.first_end = now + 12.5, now + 6.2
        await cell.call(first, "POST", f"/urgent/{FILL}", job(count=28, requirements="a"))
        await cell.call(first, "POST", f"/urgent/{FIRST}", job(requirements="b"))
        await asyncio.sleep(0.5)
        code, _ = await cell.call(first, "POST", f"/q/{JOB}", job())
        if code != 200:
            raise CannotRun("the job was not accepted")
        await asyncio.sleep(1.4)

        # roll_term: two entries get SIGTERM, 3 s apart, and start again.
        begin, writes = time.monotonic(), cell.store.writes
        if trouble:
            name = f"edge-z1-{first}".encode()
            cell.store.lose_late(
                lambda topic, raw: topic == "keyed.claims" and raw[1:2] == b"s" and name in raw, 5.0)
        cell.signal(first, signal.SIGTERM)

        async def start_again(n):
            while cell.entries[n].poll() is None:
                await asyncio.sleep(0.02)
            cell.record("entry", n, "has ended with", cell.entries[n].returncode)
            await asyncio.sleep(0.5)
            cell.start_entry(n)

        restarts = [asyncio.ensure_future(start_again(first))]

        def next_owner(*former):
            owner = cell.owner("alpha")
            return None if owner in former else owner

        second = await cell.until("a second owner", lambda: next_owner(first))
        cell.record("the owner is now entry", second)
        await asyncio.sleep(max(0, begin + 3 - time.monotonic()))
        cell.signal(second, signal.SIGTERM)
        restarts.append(asyncio.ensure_future(start_again(second)))
        third = await cell.until("a third owner", lambda: next_owner(first, second))
        cell.record("the owner is now entry", third)
        await asyncio.sleep(max(0, begin + 4.5 - time.monotonic()))
        cell.record("writes to the store in these 4.5 s:", cell.store.writes - writes)
        await cell.until("the job begins", lambda: began)
        await asyncio.sleep(0.2)
        await cell.call(third, "POST", f"/urgent/{URGENT}", job(requirements="b"))
        for r in restarts:
            await r
        await asyncio.sleep(max(0, cell.fill_end + 0.5 - time.monotonic()))
        for n in ENTRIES:
            cell.record("entry", n, "has owned, as (claim, generation):",
                        [(e["claim"], e["generation"]) for e in cell.events(n, "slice-owned")])

        # The end of the traffic. finish_s later, JOB is watched for 3 s.
        cell.record("the traffic has ended")
        await asyncio.sleep(FINISH_S)
        idle, state = True, b""
        for _ in range(12):
            _, state = await cell.call(third, "GET", f"/q/{JOB}")
            idle = idle and not any(m.running for m in cell.minions)
            if b"completed" in state:
                return ""
            await asyncio.sleep(0.25)
        cell.record("the job for 3 s:", state.decode(), "all minions empty:", idle)
        return "LOST: nothing of an accepted job runs, all minions are empty" if idle else ""
    finally:
        cell.close()


# TROUBLE=0: the same without the disruption.
main(case, __file__, trouble=os.environ.get("TROUBLE", "1") != "0")
