"""Stand-ins of the platform, and a cell of entries, for the scripts in review/.

Everything runs on loopback addresses. The store and the minions are served by
one asyncio loop; the entries are real processes started with the command of
deploy/system.toml. The stand-ins follow PROTOCOL.md; see each class.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


class Record:
    """Writes record.txt: one line an event, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(w) for w in words)
        self.out.write(line + "\n")
        self.out.flush()


# ---------------------------------------------------------------- HTTP server

class HttpServer:
    """A minimal HTTP/1.1 server with keep-alive on 127.0.0.1."""

    def __init__(self, handler, port=0):
        self.handler, self.port = handler, port
        self.server, self.writers = None, set()
        self.silent = set()  # connections whose request gets no answer

    async def open(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self.port = sock.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=sock)

    def close(self):
        """Ends at once, as a killed process does: all connections are closed."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.silent.clear()

    def release(self):
        """Resets the connections on which a request has got no answer."""
        for writer in list(self.silent):
            writer.transport.abort()
        self.silent.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, target, headers, body)
                if answer is None:  # No answer, and the connection stays silent.
                    self.silent.add(writer)
                    await asyncio.sleep(3600)
                code, content = answer
                if isinstance(content, (dict, list)):
                    content = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http(port, method, path, body=None, headers=None, timeout=5.0):
    """One call on a new connection: (code, body); code 0 without an answer."""
    content = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(content)}", "Connection: close"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")

    async def talk():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            data = await reader.read(-1)
        finally:
            writer.close()
        if not data:
            return 0, b""
        head, _, rest = data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), rest

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


# ---------------------------------------------------------------------- store

class Partition:
    def __init__(self):
        self.records = []  # raw record bodies, without their length
        self.newest = {}   # key -> (value, offset)
        self.producers = {}
        self.changed = asyncio.Event()


class Store:
    """The platform's store: log-append, log-read and log-newest as PROTOCOL.md
    has them. Nothing expires during a run. Records over recordBytes and calls
    over callBytes are refused with 400. Each call takes answer_s."""

    answer_s = 0.004

    def __init__(self, record, parts=4, record_bytes=262144, call_bytes=2097152):
        self.record, self.parts = record, parts
        self.record_bytes, self.call_bytes = record_bytes, call_bytes
        self.partitions, self.refused = {}, []
        self.writes = 0
        self.late = None  # (test of topic and record, delay): see lose_late()
        self.http = HttpServer(self._handle)

    async def open(self):
        await self.http.open()

    def partition(self, topic, number):
        return self.partitions.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        """A record of the operator or of a minion."""
        self._append(self.partition(topic, 0), topic, [self._keyed(key, value)])

    def remove(self, topic, key):
        """The record of a key is dropped: a record without a value."""
        self.record("store: the entry of", key, "is removed")
        self._append(self.partition(topic, 0), topic, [bytes([len(key)]) + key.encode()])

    @staticmethod
    def _keyed(key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        return bytes([len(key)]) + key.encode() + raw

    @staticmethod
    def _append(part, topic, records):
        first = len(part.records)
        for raw in records:
            offset = len(part.records)
            part.records.append(raw)
            if topic.startswith("keyed."):
                key, value = raw[1:1 + raw[0]].decode("utf-8", "replace"), raw[1 + raw[0]:]
                if value:
                    part.newest[key] = (value, offset)
                else:
                    part.newest.pop(key, None)
        part.changed.set()
        part.changed = asyncio.Event()
        return {"offset": first, "endOffset": len(part.records)}

    async def _handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        topic, number = query.get("topic", ""), int(query.get("part", 0))
        if number >= (1 if topic in ("keyed.op", "keyed.servers", "keyed.status") else self.parts):
            return 400, {"error": "no such partition"}
        part = self.partition(topic, number)
        await asyncio.sleep(self.answer_s)
        if url.path == "/log-append":
            return self._on_append(part, topic, query, body)
        if url.path == "/log-read":
            return await self._on_read(part, query)
        if url.path == "/log-newest":
            return self._on_newest(part, query)
        return 404, {"error": "unknown"}

    def _on_append(self, part, topic, query, body):
        records, at = [], 0
        while at < len(body):
            length = struct.unpack(">I", body[at:at + 4])[0]
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {"error": "not yours"}
        self.writes += 1
        if self.late and records and self.late[0](topic, records[0]):
            delay, self.late = self.late[1], None
            self.record("store: a write to", topic, "gets no answer; it is done", delay, "s later")
            asyncio.get_event_loop().call_later(delay, self._do_late, part, topic, query, records)
            return None
        if len(body) > self.call_bytes or any(len(r) > self.record_bytes for r in records):
            self.refused.append(len(body))
            self.record("store refuses an append:", len(records), "records, the largest of",
                        max(len(r) for r in records), "bytes")
            return 400, {"error": "too large"}
        return self._carry_out(part, topic, query, records)

    def _do_late(self, part, topic, query, records):
        self.record("store: the late write to", topic, "is done:", self._carry_out(part, topic, query, records))

    def lose_late(self, test, delay):
        """The next write for which test(topic, record) holds is carried out
        after `delay` seconds and never answered (platform_lost, how = late)."""
        self.late = (test, delay)

    def _carry_out(self, part, topic, query, records):
        if "at" in query and int(query["at"]) != len(part.records):
            return 412, {"endOffset": len(part.records)}
        name = query.get("producer")
        if name is None:
            return 200, self._append(part, topic, records)
        epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
        known = part.producers.get(name)
        if known and epoch < known["epoch"]:
            return 409, {"reason": "fenced"}
        if not known or epoch > known["epoch"]:
            known = part.producers[name] = {"epoch": epoch, "next": sequence, "recent": {}}
        if not records:
            return 200, {"offset": len(part.records), "endOffset": len(part.records)}
        if sequence in known["recent"]:
            return 200, known["recent"][sequence]
        if sequence != known["next"]:
            return 409, {"reason": "seq", "expected": known["next"]}
        answer = self._append(part, topic, records)
        known["recent"][sequence] = answer
        known["recent"].pop(sequence - 5, None)
        known["next"] = sequence + 1
        return 200, answer

    async def _on_read(self, part, query):
        start, wait = int(query.get("from", 0)), int(query.get("waitMs", 0)) / 1000
        limit = int(query.get("maxKb", 1024)) * 1024
        end = time.monotonic() + wait
        while start >= len(part.records) and time.monotonic() < end:
            try:
                await asyncio.wait_for(part.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = bytearray(struct.pack(">QQ", len(part.records), 0))
        for raw in part.records[start:]:
            if len(out) > 16 and len(out) + len(raw) > limit:
                break
            out += struct.pack(">I", len(raw)) + raw
        return 200, bytes(out)

    @staticmethod
    def _on_newest(part, query):
        keys = sorted(k for k in part.newest if k > query.get("after", ""))
        items, size = [], 0
        for key in keys[:500]:
            value, offset = part.newest[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "hasMore": len(items) < len(keys), "endOffset": len(part.records)}


# --------------------------------------------------------------------- minion

class Run:
    def __init__(self, task, number, started, work_s, how):
        self.task, self.number, self.started = task, number, started
        self.work_s, self.how = work_s, how


class Minion:
    """A minion: its entry in the store, run-start, run-stop, hold and pace.

    `work` is a function from (task, run, minion) to (seconds, how it ends).
    One life is one incarnation: crash() forgets runs, ends, fencing token and
    clock, and start() begins the next life under the same id and address.
    """

    def __init__(self, cell, name, service, capacity, labels, work, zone="z1"):
        self.cell, self.id, self.service = cell, name, service
        self.capacity, self.labels, self.work, self.zone = capacity, labels, work, zone
        self.port, self.life, self.up, self.cut = 0, 0, False, False
        self.state = "ready"
        self.tasks = []
        self.holds = 0
        self.last_beat = 0.0
        self.history = []  # (time, event, task, run), over all lives
        self.noted = []    # (task, run, how, when it ended, when it was taken note of)

    async def start(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.birth = time.monotonic()
        self.token = 0
        self.lease_end = None  # on the steady clock
        self.lapses = []       # when leases of this life ran out
        self.end_at = {}       # number of an end -> when it came
        self.running, self.ended, self.next_end = {}, [], 1
        self.refused_runs = {}  # task -> highest run stopped or ended here
        self.sequence = 0
        self.news = asyncio.Event()
        self.server = HttpServer(self._handle, self.port)
        await self.server.open()
        self.port = self.server.port
        self.up = True
        self.cell.record(self.id, "starts, life", self.life, "labels", self.labels, "capacity", self.capacity)
        self.tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._watch_lease())]

    def crash(self):
        """The process is killed: what it runs ends, connections are closed."""
        self.cell.record(self.id, "crashes, life", self.life, "with", len(self.running), "runs")
        self.up = False
        for t in self.tasks:
            t.cancel()
        for key in list(self.running):
            self._forget(key, "crashed")
        self.server.close()

    def cut_off(self):
        """Nothing passes any more, to or from anybody; what runs goes on. A call
        is taken in and never carried out."""
        self.cut = True
        self.cell.record(self.id, "is cut off, with", len(self.running), "runs")

    def heal(self):
        self.cut = False
        self.server.release()
        self.cell.record(self.id, "can be reached again, with", len(self.running), "runs")

    def clock(self):
        return int((time.monotonic() - self.birth) * 1000)

    def register(self):
        self.sequence += 1
        self.cell.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock(),
            "born": self.born, "sequence": self.sequence})

    async def _beat(self):
        """Writes the entry about every heartbeatMs, the first one at the start."""
        while True:
            if not self.cut:
                self.register()
                self.last_beat = time.monotonic()
            await asyncio.sleep(self.cell.heartbeat_s)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.lease_end is not None and time.monotonic() > self.lease_end:
                for key in list(self.running):
                    self._end(key, "lapsed")

    def _note(self, event, task, run):
        self.history.append((time.monotonic(), event, task, run))
        self.cell.record(self.id, f"life {self.life}", event, task, "run", run)

    def _forget(self, key, event):
        run, timer = self.running.pop(key)
        timer.cancel()
        self._note(event, *key)
        return run

    def _end(self, key, how):
        if key not in self.running:
            return
        self._forget(key, how)
        task, number = key
        self.refused_runs[task] = max(self.refused_runs.get(task, 0), number)
        self.ended.append([self.next_end, task, number, how, ""])
        self.end_at[self.next_end] = time.monotonic()
        self.next_end += 1
        self.news.set()
        self.news = asyncio.Event()

    async def _run(self, key, seconds, how):
        await asyncio.sleep(seconds)
        self._end(key, how)

    def _extend(self, deadline_ms):
        longest = self.cell.hold_max_ms
        left = min(deadline_ms - self.clock(), longest)
        now = time.monotonic()
        if self.lease_end is not None and now > self.lease_end:
            self.lapses.append(self.lease_end)
        end = now + left / 1000
        if self.lease_end is None or end > self.lease_end:
            self.lease_end = end

    def _take_note(self, acked):
        """Ends up to `acked` are forgotten. An end counts as taken note of
        unless the lease lapsed since it came (RULES.md, TWICE)."""
        now = time.monotonic()
        lapsed = self.lapses + ([self.lease_end] if self.lease_end and self.lease_end < now else [])
        for number, task, run, how, _ in [end for end in self.ended if end[0] <= acked]:
            if not any(at > self.end_at[number] for at in lapsed):
                self.noted.append((task, run, how, self.end_at[number], now))
        if self.ended and self.ended[0][0] <= acked:
            self.cell.record(self.id, "ends up to", acked, "are taken note of")
        self.ended = [end for end in self.ended if end[0] > acked]

    async def _handle(self, method, target, headers, body):
        if self.cut:
            return None
        path = urlsplit(target).path
        expected = headers.get("x-expected-instance")
        if expected and expected != self.id:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        doc = json.loads(body or b"{}")
        token = int(doc.get("fencingToken", 0))
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self._on_start(doc)
        if path == "/run-stop":
            return self._on_stop(doc)
        if path == "/hold":
            return await self._on_hold(doc)
        if path == "/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def _on_start(self, doc):
        key = (doc["task"], int(doc["run"]))
        clock = {"clockMs": self.clock()}
        if key in self.running:
            return 200, clock
        if self.refused_runs.get(key[0], 0) >= key[1]:
            self._extend(int(doc["deadlineMs"]))
            self._note("refuses as old", *key)
            return 409, dict(clock, reason="old")
        if int(doc["deadlineMs"]) < self.clock():
            return 409, dict(clock, reason="late")
        self._extend(int(doc["deadlineMs"]))
        seconds, how = self.work(key[0], key[1], self)
        timer = asyncio.ensure_future(self._run(key, seconds, how))
        self.running[key] = (Run(key[0], key[1], time.monotonic(), seconds, how), timer)
        self._note("begins", *key)
        return 200, clock

    def _on_stop(self, doc):
        key = (doc["task"], int(doc["run"]))
        self.refused_runs[key[0]] = max(self.refused_runs.get(key[0], 0), key[1])
        if key in self.running:
            asyncio.get_event_loop().call_later(0.05, self._end, key, "stopped")
        return 200, {"clockMs": self.clock()}

    async def _on_hold(self, doc):
        self.holds += 1
        if "deadlineMs" in doc:
            self._extend(int(doc["deadlineMs"]))
        self._take_note(int(doc.get("ackCursor", 0)))
        until = time.monotonic() + int(doc.get("waitMs", 0)) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.cut:
            return None
        now = time.monotonic()
        rows = [[k[0], k[1], "", min(100, int(100 * (now - r.started) / r.work_s)), 0]
                for k, (r, _) in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                     "endedRuns": self.ended[:500]}


# ----------------------------------------------------------------------- cell

def free_ports(count):
    """The first of `count` neighbouring free ports, below those that the system
    gives to outgoing connections."""
    for _ in range(200):
        base = random.randrange(15000, 32000)
        socks = []
        try:
            for port in range(base, base + count):
                s = socket.socket()
                socks.append(s)
                s.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for s in socks:
                s.close()
    raise CannotRun("no free ports")


PORTS_PER_ENTRY, MAX_ENTRIES = 5, 6


class Cell:
    """A store, a configuration, minions and entries."""

    heartbeat_s = 1.5
    hold_max_ms = 10000

    def __init__(self, folder, parts=4, status_s=120):
        self.record = Record(folder)
        self.store = Store(self.record, parts)
        self.status_s = status_s
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.entries, self.minions, self.ports = {}, [], {}
        self.first_port = None  # of a block for all entries

    async def open(self):
        await self.store.open()

    def publish(self, version, routes, services):
        self.store.put("keyed.op", "config", {
            "version": version, "routes": routes,
            "services": [{"name": s, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1",
                          "tls": False, "rejectsOverload": False, "standby": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record("operator: version", version, "is acknowledged:",
                    ", ".join(f"{r['pathPrefix']} -> {r['service']}" for r in routes))

    def start_entry(self, number):
        program = os.path.join(ROOT, "target/apps/pollenvale")
        if not os.path.exists(program):
            raise CannotRun("target/apps/pollenvale is missing: run the build of the deploy file")
        if self.first_port is None:
            self.first_port = free_ports(PORTS_PER_ENTRY * MAX_ENTRIES)
        base = self.ports.setdefault(number, self.first_port + PORTS_PER_ENTRY * (number - 1))
        settings = os.path.join(self.folder, f"e{number}.conf")
        with open(settings, "w") as out:
            out.write(f"""nodeName=edge-z1-{number}
role=entry
machineClass=edge
serves=edge
ip=127.0.0.1
zone=z1
region=r1
zones.z1=r1
bindAddresses.frontend=127.0.0.1:{base}
bindAddresses.readiness=127.0.0.1:{base + 1}
internalPorts={base + 2},{base + 4}
bootstrap=true
limits.cpuShare=0.25
limits.cores=1
limits.memoryMb=260
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=vip
heartbeatMs={int(self.heartbeat_s * 1000)}
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=1
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.holdMaxMs={self.hold_max_ms}
bounds.stopTimeoutMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s={self.status_s}
bounds.noticeMs=4500
bounds.fencingRequired=false
bounds.leaseMs=3000
orders=call
platform.address=127.0.0.1:{self.store.http.port}
platform.form=log
platform.writesPerS=600
platform.readsPerS=2000
platform.parts={self.store.parts}
platform.recordBytes={self.store.record_bytes}
platform.callBytes={self.store.call_bytes}
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
""")
        output = open(os.path.join(self.folder, f"e{number}.out"), "ab")
        self.entries[number] = subprocess.Popen(
            [program, "--platform"], cwd=ROOT, stdout=output, stderr=output,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "POLLENVALE_BOOT": settings})
        self.record("entry", number, "starts, pid", self.entries[number].pid)

    def signal(self, number, what):
        self.entries[number].send_signal(what)
        self.record("entry", number, signal.Signals(what).name)

    async def kill_entry(self, number):
        self.signal(number, signal.SIGKILL)
        while self.entries[number].poll() is None:
            await asyncio.sleep(0.005)

    def events(self, number, name):
        out = []
        with open(os.path.join(self.folder, f"e{number}.out"), errors="replace") as lines:
            for line in lines:
                if f'"event":"{name}"' in line:
                    out.append(json.loads(line[line.index("{"):]))
        return out

    def owner(self, service):
        """Number of the running entry that last began to own the service."""
        best = None
        for number, process in self.entries.items():
            if process.poll() is None:
                for e in self.events(number, "slice-owned"):
                    if e["slice"] == service and (best is None or e["claim"] > best[0]):
                        best = (e["claim"], number)
        return best[1] if best else None

    async def ready(self, number):
        return (await http(self.ports[number] + 1, "GET", "/ready", timeout=1))[0] == 200

    async def until(self, what, condition, limit_s=20):
        end = time.monotonic() + limit_s
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            if time.monotonic() > end:
                ended = {n: p.poll() for n, p in self.entries.items() if p.poll() is not None}
                raise CannotRun(f"gave up waiting: {what}; entries that ended by themselves: {ended}")
            await asyncio.sleep(0.02)

    async def call(self, number, method, path, body=None, host="caller.test", quiet=False):
        code, text = await http(self.ports[number], method, path, body,
                                {"Host": host, "Content-Type": "application/json", "X-Deadline-Ms": "3000"})
        if not quiet:
            shown = "" if body is None else json.dumps(body)[:200]
            self.record("client to entry", number, method, path, shown, "->", code, text[:120].decode("utf-8", "replace"))
        return code, text

    def close(self):
        for process in self.entries.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for m in self.minions:
            if m.up:
                m.up = False
                for t in m.tasks:
                    t.cancel()
                m.server.close()
        self.store.http.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept:", self.folder)


def route(name, service, **more):
    out = {"name": "r-" + name, "host": "caller.test", "pathPrefix": f"/{name}/", "kind": "unsafe",
           "timeoutMs": 3000, "sloMs": 1000, "priority": 1, "service": service, "maxAttempts": 3, "stretch": 2.0}
    out.update(more)
    return out


def done_then_started(cell):
    """Tasks that started after one of their runs had ended `done`, where that
    end was taken note of: the second half of TWICE."""
    done = {}
    for m in cell.minions:
        for task, run, how, ended, _ in m.noted:
            if how == "done":
                done[task] = min(ended, done.get(task, ended))
    out = set()
    for m in cell.minions:
        for at, event, task, run in m.history:
            if event == "begins" and task in done and at > done[task]:
                out.add(task)
    return sorted(out)


def main(case, file, trouble):
    """Runs `case(folder, trouble)`; it returns a text if the rule was broken."""
    folder = os.path.dirname(os.path.abspath(file))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder, trouble), 118))
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        print("could not run:", repr(problem))
        sys.exit(2)
    print(("BROKEN: " + broken) if broken else "the rule held")
    sys.exit(1 if broken else 0)
