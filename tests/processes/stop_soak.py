#!/usr/bin/env python3
"""Entries get SIGTERM while they stand still now and then and the store fails,
and callers go on to the end. No connection may end without a whole answer if its
request was sent more than SLACK_S before, and no entry may need to be killed.

Usage: stop_soak.py BUILD_FOLDER BASE_PORT SEED [ROUNDS]
"""
import json
import random
import signal
import socket
import sys
import threading
import time

from cell import ENTRIES, GRACE_S, SERVICES, Cell

SLACK_S = 0.2
ANSWER_S = 20  # Only ends a caller that hangs.
# Times since SIGTERM near which an entry decides to go on or to end.
TURNING_POINTS_S = [0.0, 3.5, 4.9, 5.3]
LONGEST_PAUSE_S = 0.35  # A longer one could reach past the kill.


class Caller(threading.Thread):
    """Sends request after request to a port until no process listens."""

    def __init__(self, port, seed, keeps):
        super().__init__()
        self.port, self.random, self.keeps = port, random.Random(seed), keeps
        self.answered, self.late_cuts = 0, []

    def request(self):
        service, job = self.random.choice(SERVICES), f"{self.random.getrandbits(63):016x}"
        method = self.random.choice(["GET", "GET", "POST", "DELETE"])
        spec = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 100}]}
        body = json.dumps(spec) if method == "POST" else ""
        return (f"{method} /{service}/{job} HTTP/1.1\r\nHost: caller.test\r\nX-Deadline-Ms: 20000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()

    def call(self, connection):
        """Whether the connection stays open; notes a cut."""
        request = self.request()
        sent = time.monotonic()
        data, head, length = b"", b"", 0
        try:
            connection.sendall(request)
            sent = time.monotonic()
            while not head or len(data) < length:
                part = connection.recv(4096)
                if not part:
                    break
                data += part
                if not head and b"\r\n\r\n" in data:
                    head, data = data.split(b"\r\n\r\n", 1)
                    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        except OSError:
            pass
        if head and len(data) >= length:
            self.answered += 1
            return b"connection: close" not in head.lower()
        waited = time.monotonic() - sent
        if waited > SLACK_S:
            self.late_cuts.append((request.split(b"\r\n")[0].decode(), round(waited, 3)))
        return False

    def run(self):
        while True:
            try:
                connection = socket.create_connection(("127.0.0.1", self.port), timeout=ANSWER_S)
            except OSError:
                return
            with connection:
                while self.call(connection) and self.keeps:
                    time.sleep(self.random.choice([0, 0.01, 0.1, 0.4]))
            time.sleep(self.random.choice([0, 0.01, 0.05]))


def pauses(rng):
    """Times since SIGTERM at which the entry is stopped, and for how long."""
    starts = [rng.choice(TURNING_POINTS_S) + rng.uniform(-0.4, 0.1) for _ in range(3)]
    starts.append(rng.uniform(0, GRACE_S - 1))
    return [("pause", max(0.0, at), rng.uniform(0.05, LONGEST_PAUSE_S)) for at in starts]


def outages(rng):
    """Modes of the store and the times at which they begin."""
    if rng.random() < 0.3:
        return []
    begin = rng.uniform(0, 4)
    mode = rng.choice(["down", "silent", "lose-answers"])
    end = [] if rng.random() < 0.5 else [("store", begin + rng.uniform(0.2, 3), "up")]
    return [("store", begin, mode)] + end


def play(cell, process, events, since):
    for kind, at, value in sorted(events, key=lambda e: e[1]):
        time.sleep(max(0.0, since + at - time.monotonic()))
        if process.poll() is not None:
            return
        if kind == "store":
            cell.store(json.dumps({"mode": value}))
            continue
        process.send_signal(signal.SIGSTOP)
        time.sleep(value)
        process.send_signal(signal.SIGCONT)


def stop_under_load(cell, entry, rng):
    process = cell.processes[f"e{entry}"]
    callers = [Caller(cell.caller_port(entry), rng.random(), keeps=i % 2 == 0) for i in range(8)]
    for caller in callers:
        caller.start()
    time.sleep(0.3)
    since = time.monotonic()
    process.send_signal(signal.SIGTERM)
    play(cell, process, pauses(rng) + outages(rng), since)
    cell.ends_in_time(entry, since)
    for caller in callers:
        caller.join()
    cuts = [cut for caller in callers for cut in caller.late_cuts]
    stopped = json.loads(cell.events(entry, "stopped")[-1])
    print(f"entry {entry}: {sum(c.answered for c in callers)} answered, after {stopped['after_ms']} ms", flush=True)
    assert not cuts, cuts


def main():
    build, base, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    rounds = int(sys.argv[4]) if len(sys.argv) > 4 else 2
    rng = random.Random(seed)
    cell = Cell(build, base)
    try:
        cell.publish(1, SERVICES)
        for entry in range(1, ENTRIES + 1):
            cell.start_entry(entry)
        cell.wait_ready()
        for number in range(rounds):
            entry = 1 + number % ENTRIES
            stop_under_load(cell, entry, rng)
            cell.store('{"mode":"up"}')
            cell.start_entry(entry)
            cell.wait_ready()
    except BaseException:
        print(f"seed {seed}; logs: {cell.folder}", flush=True)
        raise
    finally:
        cell.stop()
    print(f"seed {seed}: {rounds} stops, no call lost")


main()
