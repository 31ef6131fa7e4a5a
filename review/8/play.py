"""All machines lose power right after a client's work was accepted by a new
service; while they are down, the operator takes the service back."""
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from standins import BOUNDS, call, main  # noqa: E402

DOWN_S = 1.0  # power_off_all: down_s = 1.0, how = "taken"
KILL_AFTER_S = 0.1  # After the first job of a new service was accepted.
FINISH_S = BOUNDS["finish_s"]
TEAMS = [f"team-{i}" for i in range(6)]
BODY = {"spec": "ms=500", "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 500}]}
OLD = [(f"r-{t}", f"/{t}/", "planner") for t in TEAMS]
NEW = [(f"r-{t}", f"/{t}/", f"planner-{t}") for t in TEAMS]
NEW_SERVICES = ["planner"] + [s for _, _, s in NEW]


def claimed(cell):
    """The services that are in a stored claim."""
    with cell.store.lock:
        return [key.decode() for key, _ in cell.store.partition("keyed.claims", 0).records]


def hand_in(cell, team, number, accepted):
    path = f"/{team}/{number:016x}"
    for attempt in range(200):
        code, _ = cell.client(cell.entries[(number + attempt) % len(cell.entries)], "POST", path, BODY, timeout=1.0)
        if code == 200:
            accepted[path] = time.monotonic()
            return
        time.sleep(0.01)


def power_off(cell):
    for e in cell.entries:
        e.process.kill()
    for e in cell.entries:
        e.process.wait()
    cell.record.add("all machines lose power")


def power_on(cell):
    for e in cell.entries:
        e.start()
    cell.record.add("all machines are back")
    cell.wait("all entries are ready", lambda: all(e.is_ready() for e in cell.entries))


def play(cell, trouble):
    cell.configure(1, OLD, ["planner"])
    cell.add_workers("planner", 4)
    for _, _, service in NEW:
        cell.add_workers(service, 2)
    cell.start_entries()
    cell.wait("the service has an owner", lambda: any(e.log("slice-owned") for e in cell.entries))
    time.sleep(3)
    accepted = {}
    cell.configure(2, NEW, NEW_SERVICES)
    clients = [threading.Thread(target=hand_in, args=(cell, team, 0xC0FFEE00 + i, accepted), daemon=True)
               for i, team in enumerate(TEAMS)]
    for client in clients:
        client.start()
    while not accepted:
        time.sleep(0.005)
    time.sleep(KILL_AFTER_S)
    if trouble:
        power_off(cell)
        cell.record.add("claims at the loss of power", keys=sorted(set(claimed(cell))))
        time.sleep(DOWN_S / 2)
        cell.configure(3, OLD, ["planner"])
        time.sleep(DOWN_S / 2)
        power_on(cell)
    else:
        time.sleep(DOWN_S / 2)
        cell.configure(3, OLD, ["planner"])
    time.sleep(FINISH_S + 4)
    broken = []
    for path in sorted(accepted):
        answers = [call(e.caller_port, "GET", path) for e in cell.entries]
        cell.record.add("state of an accepted job", path=path, answers=answers)
        gone = sum(code == 410 for code, _ in answers)
        states = {json.loads(text).get("state") for code, text in answers if code == 200}
        if gone:
            broken.append(f"{path}, accepted and not cancelled, is answered 410 by {gone} of {len(answers)} entries")
        elif states != {"completed"}:
            broken.append(f"{path} is not completed, with all minions empty: {answers}")
    return broken


main(HERE, play)
