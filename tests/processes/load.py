#!/usr/bin/env python3
"""Sends COUNT requests to the entries in PORTS, round robin, and exits 0 only if
each answer is the whole answer to its own request. With "refusals-ok", clear
refusals with "not-run" and connections that no entry took are allowed, with
"killed-ok" broken connections too. "mark=FILE" creates FILE with the first whole
answer, when further requests are under way."""
import concurrent.futures
import json
import sys
import urllib.error
import urllib.request


def send(job):
    port, name, run_ms = job
    body = json.dumps({"id": name, "run_ms": run_ms}).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}/v1/services/planning", body,
        {"X-Pollenvale-Deadline-Ms": "30000"})
    try:
        with urllib.request.urlopen(request, timeout=40) as answer:
            return "own" if json.load(answer)["id"] == name else "alien"
    except urllib.error.HTTPError as error:
        body = json.load(error)
        if body["run"] not in ALLOWED:
            print("refused:", body, file=sys.stderr)
        return body["run"]
    except urllib.error.URLError as error:
        refused = isinstance(error.reason, ConnectionRefusedError)
        return "no-connection" if refused else "broken"
    except OSError:
        return "broken"


def allowed():
    outcomes = {"own"}
    if "refusals-ok" in sys.argv:
        outcomes |= {"not-run", "no-connection"}
    if "killed-ok" in sys.argv:
        outcomes |= {"not-run", "no-connection", "broken"}
    return outcomes


ALLOWED = allowed()


MARK = next((a[len("mark="):] for a in sys.argv if a.startswith("mark=")), None)


def mark():
    if MARK:
        open(MARK, "w").close()


def main():
    prefix, count, run_ms = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    ports = sys.argv[4].split(",")
    jobs = [(ports[i % len(ports)], f"{prefix}{i}", run_ms)
            for i in range(count)]
    tally = {}
    with concurrent.futures.ThreadPoolExecutor(48) as pool:
        for outcome in pool.map(send, jobs):
            tally[outcome] = tally.get(outcome, 0) + 1
            if outcome == "own":
                mark()
    print("answers:", tally)
    sys.exit(0 if set(tally) <= ALLOWED and tally.get("own", 0) > 0 else 1)


main()
