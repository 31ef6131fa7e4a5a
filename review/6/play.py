"""An entry stands still while a queue moves to another service."""
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from standins import HOST, double_runs, main  # noqa: E402

FREEZE_S = 4.0  # node_freeze: count = 1, for_s = 4.0
CHANGE_AFTER_S = 1.5  # After the freeze begins.
ROUNDS = 8
CLIENTS = 36
JOBS_PER_S = 12  # cowl-quote: 11.9 a second
BEFORE_S, AFTER_S = 3.0, 3.0  # Traffic before and after the freeze.
DEADLINE_S = 3.0
RETRIES = 4
BODY = {"spec": "ms=1500", "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 1500}]}
FIRST = [("r-plan", "/plan/", "planner"), ("r-image", "/image/", "reader")]
MOVED = [("r-plan", "/plan/", "reader"), ("r-image", "/image/", "reader")]
SERVICES = ["planner", "reader"]


class Client:
    """Keeps a connection to one entry, and goes to another one after no answer."""

    def __init__(self, cell, entry, seed):
        self.cell, self.entry, self.rng = cell, entry, random.Random(seed)
        self.connection = None

    def attempt(self, path):
        self.cell.record.add("client sends", entry=self.entry.name, path=path)
        try:
            if not self.connection:
                self.connection = http.client.HTTPConnection(HOST, self.entry.caller_port, timeout=DEADLINE_S)
            self.connection.request("POST", path, json.dumps(BODY), {
                "Host": "caller.example", "Content-Type": "application/json", "X-Deadline-Ms": "3000"})
            answer = self.connection.getresponse()
            answer.read()
            code = answer.status
        except (OSError, http.client.HTTPException):
            self.connection.close()
            self.connection, code = None, 0
        self.cell.record.add("client gets", entry=self.entry.name, path=path, code=code or "no answer")
        return code

    def hand_in(self, job):
        for _ in range(1 + RETRIES):
            if self.attempt(f"/plan/{job}") not in (0, 502, 504):
                return
            if self.connection:
                self.connection.close()
                self.connection = None
            self.entry = self.rng.choice([e for e in self.cell.entries if e is not self.entry])

    def run(self, until):
        time.sleep(self.rng.random() * CLIENTS / JOBS_PER_S)
        while time.monotonic() < until:
            sent = time.monotonic()
            self.hand_in(f"{self.rng.getrandbits(64):016x}")
            time.sleep(max(0.0, sent + CLIENTS / JOBS_PER_S - time.monotonic()))


def play_round(cell, number, trouble):
    """One entry without a service of its own stands still; meanwhile the queue moves."""
    owners = {e.name for e in cell.entries if e.log("slice-claimed")}
    others = [e for e in cell.entries if e.name not in owners]
    frozen = others[number % len(others)]
    until = time.monotonic() + BEFORE_S + FREEZE_S + AFTER_S
    clients = [threading.Thread(target=Client(cell, cell.entries[i % len(cell.entries)], 1000 * number + i).run,
                                args=(until,), daemon=True) for i in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(BEFORE_S)
    if trouble:
        cell.record.add("machine stands still", entry=frozen.name)
        frozen.process.send_signal(signal.SIGSTOP)
    time.sleep(CHANGE_AFTER_S)
    cell.configure(2 + number, FIRST if number % 2 else MOVED, SERVICES)
    time.sleep(FREEZE_S - CHANGE_AFTER_S)
    if trouble:
        frozen.process.send_signal(signal.SIGCONT)
        cell.record.add("machine wakes", entry=frozen.name)
    for client in clients:
        client.join(30)


def play(cell, trouble):
    cell.configure(1, FIRST, SERVICES)
    cell.add_workers("planner", 6)
    cell.add_workers("reader", 6)
    cell.start_entries()
    cell.wait("both services have an owner", lambda: sum(len(e.log("slice-owned")) for e in cell.entries) >= 2)
    for number in range(ROUNDS):
        play_round(cell, number, trouble)
    time.sleep(8)
    return double_runs(os.path.join(HERE, "record.txt"))


main(HERE, play)
