"""One accepted job, repeated each minute since yesterday, takes each owner of its
service over the memory that a process may use."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from standins import main  # noqa: E402

MEMORY_MB = 260  # limits.memoryMb; "A process that exceeds memoryMb is killed."
RESTART_S = 0.5  # "A process that exits or is killed is restarted after a short delay"
WATCH_S = 85
MINUTE_MS, DAY_MS = 60_000, 86_400_000
TASKS = 480
ENDS_EACH, MACHINES = 3, 2  # Fault: two machines at least, three times in the day


def resident_mb(entry):
    try:
        with open(f"/proc/{entry.process.pid}/status", encoding="utf-8") as lines:
            return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) // 1024
    except (OSError, StopIteration):
        return 0


def watch_memory(cell, ends, back_at, peaks):
    """Does what the platform does: kills a process over its memory, and starts it again."""
    for e in cell.entries:
        if e.name in back_at:
            if time.monotonic() >= back_at[e.name]:
                del back_at[e.name]
                e.start()
            continue
        size = resident_mb(e)
        peaks[e.name] = max(size, peaks.get(e.name, 0))
        code = e.process.poll()
        if code is None and size <= MEMORY_MB:
            continue
        if code is None:
            e.process.kill()
        e.process.wait()
        ends[e.name] = ends.get(e.name, 0) + 1
        cell.record.add("process ends", entry=e.name, resident_mb=size, code=code, ends=ends[e.name])
        back_at[e.name] = time.monotonic() + RESTART_S


def play(cell, trouble):
    cell.configure(1, [("r-a", "/a/", "planner")], ["planner"])
    cell.add_workers("planner", 8, cpu=64000)
    cell.start_entries()
    cell.wait("the service has an owner", lambda: any(e.log("slice-owned") for e in cell.entries))
    time.sleep(2)
    body = {"spec": "ms=400", "repeatCount": DAY_MS // MINUTE_MS, "intervalMs": MINUTE_MS,
            "startAtMs": int(time.time() * 1000) - (DAY_MS if trouble else MINUTE_MS),
            "steps": [{"count": TASKS, "cpu": 10, "memMb": 1, "estimateMs": 400}]}
    code, text = cell.client(cell.entries[0], "POST", f"/a/{0xC0FFEE:016x}", body)
    if code != 200:
        cell.record.add("the job is refused", code=code, body=text)
        return []
    ends, back_at, peaks = {}, {}, {}
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        watch_memory(cell, ends, back_at, peaks)
        time.sleep(0.05)
    cell.record.add("ends and largest resident sizes", ends=ends, peaks_mb=peaks)
    often = [name for name, count in ends.items() if count >= ENDS_EACH]
    if len(often) < MACHINES:
        return []
    return [f"processes end by themselves: {ends}, largest resident size {max(peaks.values())} MB of {MEMORY_MB}"]


main(HERE, play)
