"""A store, the operator's configuration and entries on the users' platform as
real processes: `pollenvale --platform` against a stand-in of the store."""
import http.client
import json
import struct
import subprocess
import tempfile
import time

ENTRIES = 3
PARTITIONS = 3  # Fewer than services, and than most stores have.
SERVICES = [f"service-{i}" for i in range(8)]
WAIT_S = 30  # Only ends a run that hangs.
GRACE_S = 6  # From SIGTERM to SIGKILL, the default of the settings.
LINGER_S = 3.5  # An entry serves callers so long after SIGTERM, or longer.


def call(port, method, path, body=None, host="caller.test", headers=None):
    """One HTTP call; its code and body. Code 0 when there was no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request(method, path, body, {"Host": host, **(headers or {})})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


def until(what, condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"gave up waiting: {what}"
        time.sleep(0.05)


def keyed_record(key, value):
    rest = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(rest)) + rest


class Cell:
    """A store, the operator's configuration and some entries."""

    def __init__(self, build, base):
        self.build, self.base = build, base
        self.folder = tempfile.mkdtemp(prefix="pollenvale-platform.")
        self.processes = {}
        self.start("store", [f"{build}/tests/standin_store", str(base), str(PARTITIONS)])
        until("the store answers", lambda: self.store("{}") is not None)

    def start(self, name, command):
        output = open(f"{self.folder}/{name}.out", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=output, stderr=output)

    def store(self, command):
        """State of the store after a command to the stand-in; None without one."""
        code, body = call(self.base, "POST", "/admin", command)
        return json.loads(body) if code == 200 else None

    def caller_port(self, entry):
        return self.base + 10 * entry

    def ready(self, entry):
        return call(self.caller_port(entry) + 1, "GET", "/ready")

    def metrics(self, entry):
        return call(self.caller_port(entry) + 1, "GET", "/metrics")[1].decode()

    def publish(self, version, services, service_of=None):
        """A version with a route for each service, or with the routes of
        service_of, which maps the route of one service to another."""
        routes = [
            {"name": f"q-{name}", "host": "caller.test", "pathPrefix": f"/{name}/",
             "service": service, "maxAttempts": 3, "stretch": 2.0, "sloMs": 1000}
            for name, service in (service_of or {name: name for name in services}).items()
        ]
        config = {"version": version, "routes": routes, "services": [{"name": name} for name in services]}
        record = keyed_record("config", json.dumps(config).encode())
        code, _ = call(self.base, "POST", "/log-append?topic=keyed.op&part=0", record)
        assert code == 200, code

    def start_entry(self, entry):
        port = self.caller_port(entry)
        settings = f"{self.folder}/e{entry}.boot"
        with open(settings, "w") as out:
            out.write(
                f"nodeName=e{entry}\nip=127.0.0.1\nzone=north\n"
                f"bindAddresses.frontend=127.0.0.1:{port}\n"
                f"bindAddresses.readiness=127.0.0.1:{port + 1}\n"
                f"internalPorts={port + 2},{port + 3}\n"
                f"platform.address=127.0.0.1:{self.base}\nplatform.parts={PARTITIONS}\n"
            )
        self.start(f"e{entry}", [f"{self.build}/apps/pollenvale", "--platform", "-s", settings])

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def restart_entries(self):
        """Starts all entries again, whether they run or not."""
        self.store('{"mode":"up"}')
        for entry in range(1, ENTRIES + 1):
            if f"e{entry}" in self.processes:
                self.kill(f"e{entry}")
            self.start_entry(entry)
        self.wait_ready()

    def ends_in_time(self, entry, since):
        """Waits for the end of an entry that got SIGTERM at the time since."""
        process = self.processes.pop(f"e{entry}")
        try:
            code = process.wait(max(0.0, since + GRACE_S - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise AssertionError(f"entry {entry} would have been killed") from None
        assert code == 0, code

    def wait_ready(self):
        for entry in range(1, ENTRIES + 1):
            until(f"entry {entry} is ready", lambda: self.ready(entry)[0] == 200)

    def events(self, entry, name):
        with open(f"{self.folder}/e{entry}.out") as lines:
            return [line for line in lines if f'"event":"{name}"' in line]

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
