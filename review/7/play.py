"""Minions crash and start again under the id that they had."""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from standins import double_runs, main  # noqa: E402

CRASHES = 16
MINIONS, LOST_AT_ONCE = 24, 3  # srv_crash: share = 0.14
DARK_S = 0.6  # srv_crash: for_s = 4.5 at most, how = "dark"; 0.14 at most
SPACING_S = 4.0
JOBS_PER_S = 12  # cowl-quote: 11.9 a second, 6 tasks each
BODY = {"spec": "ms=100", "steps": [{"count": 6, "cpu": 500, "memMb": 64, "estimateMs": 100}]}
ROUTES = [("r-quote", "/quote/", "planner")]


def clients(cell, until):
    rng = random.Random(3)
    while time.monotonic() < until:
        job, entry = f"{rng.getrandbits(64):016x}", rng.choice(cell.entries)
        threading.Thread(target=cell.client, args=(entry, "POST", f"/quote/{job}", BODY), daemon=True).start()
        time.sleep(1 / JOBS_PER_S)


def crash_busiest(cell):
    """The busiest minions go dark, and start again."""
    lost = sorted(cell.workers, key=lambda w: (len(w.running), w.next_end))[-LOST_AT_ONCE:]
    for worker in lost:
        cell.record.add("minion crashes", worker=worker.name)
        worker.go_dark()
    time.sleep(DARK_S)
    for worker in lost:
        worker.start_again()


def play(cell, trouble):
    cell.configure(1, ROUTES, ["planner"])
    cell.add_workers("planner", MINIONS, heartbeat_s=1.5)
    cell.start_entries()
    cell.wait("the service has an owner", lambda: any(e.log("slice-owned") for e in cell.entries))
    until = time.monotonic() + 4 + CRASHES * SPACING_S
    threading.Thread(target=clients, args=(cell, until), daemon=True).start()
    time.sleep(4)
    for _ in range(CRASHES):
        if trouble:
            crash_busiest(cell)
            time.sleep(SPACING_S - DARK_S)
        else:
            time.sleep(SPACING_S)
    time.sleep(8)
    return double_runs(os.path.join(HERE, "record.txt"))


main(HERE, play)
