"""Stand-ins of the users' platform, backends and clients for the scripts in
review/6 to review/10: a store, the endpoint for promotions, groups of backends
and client sessions in one process, and gateways as separate processes. All
addresses are loopback addresses with free ports."""

import asyncio
import base64
import json
import logging
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2


def free_ports(count):
    """Returns free ports, all of which are bound at the same time to find them."""
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((HOST, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    """The file record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


async def read_request(reader):
    """Reads an HTTP request. Returns method, path, headers and body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, path, headers, body


def response(status, value):
    body = json.dumps(value).encode() if value is not None else b""
    return (
        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\nConnection: close\r\n\r\n" % (status, len(body))
    ) + body


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.port = 0

    def item(self, key):
        value, revision, created = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": 0,
        }

    def write(self, key, value, revision):
        created = self.items[key][2] if key in self.items else revision
        self.items[key] = (value, revision, created)
        self.events.append((revision, key, self.item(key)))

    def remove(self, key, revision):
        if key not in self.items:
            return
        del self.items[key]
        self.events.append(
            (revision, key, {"key": key, "revision": revision, "tombstone": True})
        )

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """A write of the operator or of a backend."""
        self.revision += 1
        self.write(key, json.dumps(value).encode(), self.revision)
        await self.notify()

    async def delete(self, key):
        self.revision += 1
        self.remove(key, self.revision)
        await self.notify()

    def range(self, query):
        prefix = query["path_prefix"]
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:500]
        return 200, {
            "items": [self.item(k) for k in page],
            "truncated": len(keys) > len(page),
            "as_of": self.revision,
        }

    async def watch(self, query):
        prefix = query["path_prefix"]
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                e for r, k, e in self.events if r > after and k.startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def change(self, body):
        call = json.loads(body)
        for row in call.get("expected_rev", []):
            known = self.items.get(row["key"])
            if (known[1] if known else 0) != row["revision"]:
                items = [
                    self.item(r["key"])
                    for r in call["expected_rev"]
                    if r["key"] in self.items
                ]
                return 412, {"items": items, "as_of": self.revision}
        for row in call.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        self.revision += 1
        for row in call.get("writes", []):
            self.write(row["key"], base64.b64decode(row["value"]), self.revision)
        for key in call.get("remove", []):
            self.remove(key, self.revision)
        await self.notify()
        return 200, {"revision": self.revision}

    async def serve(self, reader, writer):
        try:
            request = await read_request(reader)
            if not request:
                return
            method, path, _, body = request
            url = urllib.parse.urlsplit(path)
            query = dict(urllib.parse.parse_qsl(url.query))
            await asyncio.sleep(0.004)
            if url.path == "/kv-range":
                status, value = self.range(query)
            elif url.path == "/kv-watch":
                status, value = await self.watch(query)
            elif url.path == "/kv-txn" and method == "POST":
                status, value = await self.change(body)
            else:
                status, value = 404, {}
            writer.write(response(status, value))
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Group:
    """The backends of one service, with their logs."""

    sync_replicas = 0

    def __init__(self, world, name, count, slots, connections):
        self.world = world
        self.name = name
        self.slots = slots
        self.connections_max = connections
        self.term = 1
        self.backends = [self.backend(i) for i in range(count)]
        self.primary = self.backends[0]
        self.lag_s = 0.02

    def backend(self, index):
        return Backend(self, index)

    async def promote(self, backend):
        if backend is self.primary:
            return
        await asyncio.sleep(0.3)
        self.term += 1
        number = backend.applied[1]
        old = self.primary
        self.primary = backend
        self.world.record("run service=%s term=%d primary=%s number=%d"
                          % (self.name, self.term, backend.id, number))
        for other in self.backends:
            if other is not backend and other is not old:
                other.applied = min(other.applied, backend.applied)
        if old.running:
            old.applied = backend.applied


class Backend:
    """A backend: its log is a position only, and its replicas receive each commit
    after the group's lag."""

    def __init__(self, group, index):
        self.group = group
        self.zone = "zone-%s" % "abcd"[index % 4]
        self.id = "i-%s-%d" % (group.name, index)
        self.port = 0
        self.applied = (1, 0)
        self.busy = 0
        self.free_slots = asyncio.Semaphore(group.slots)
        self.open = 0
        self.running = True
        self.sequence = 0
        self.state = "ready"
        self.beat = 0.0
        self.server = None
        self.writers = set()

    @property
    def position(self):
        """Term and number of the last commit in its log."""
        return self.applied

    def entry(self):
        self.sequence += 1
        return {
            "service": self.group.name,
            "address": "%s:%d" % (HOST, self.port),
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.group.primary is self else "replica",
            "sequence": self.sequence,
            "born": 1700000000000,
        }

    async def register(self):
        while self.running:
            self.beat = time.monotonic()
            await self.group.world.store.put("servers/" + self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)
        # The entry is removed after three intervals of silence.
        await asyncio.sleep(self.beat + 3 * HEARTBEAT_S - time.monotonic())
        await self.group.world.store.delete("servers/" + self.id)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=2 << 20
        )

    def crash(self):
        """Ends the process of the backend: its connections are reset."""
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.open += 1
        session = {"state": "I", "wrote": 0, "prepared": {}, "values": {}}
        try:
            line = await reader.readuntil(b"\r\n")
            words = line.decode().rstrip("\r\n").split(" ")
            if words[0] != "STARTUP" or words[1] != self.group.name or (
                len(words) > 3 and words[3] != self.id
            ):
                writer.write(b"ERROR MOVED x\r\n")
                return
            if self.open > self.group.connections_max:
                writer.write(b"ERROR CONNLIMIT x\r\n")
                return
            await asyncio.sleep(0.012)
            writer.write(b"READY I %d.%d\r\n" % self.position)
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line[:-2].decode().split(" ", 2)
                if words[0] != "QUERY":
                    return
                await self.query(session, words[1], words[2], writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()

    def finish(self, session, writer, text):
        if text.startswith(b"ERROR") and session["state"] == "T":
            session["state"] = "E"
        writer.write(text)
        writer.write(b"READY %s %d.%d\r\n" % (session["state"].encode(), *self.position))

    async def query(self, session, id, text, writer):
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            position, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            after = tuple(int(x) for x in position.split("."))
            if self.applied < after:
                self.finish(session, writer, b"ERROR LAGGING x\r\n")
                return
        done = b"COMPLETE -\r\n"
        if verb == "RESET":
            session["values"], session["prepared"] = {}, {}
        elif verb == "SET":
            session["values"][rest.split(" ")[0]] = rest
        elif verb == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session["prepared"][name] = (mode, shape)
        elif verb == "ROLLBACK":
            session["state"], session["wrote"] = "I", 0
        elif verb == "BEGIN":
            if self.group.primary is not self and rest != "READ":
                self.finish(session, writer, b"ERROR READONLY x\r\n")
                return
            session["state"] = "T"
        elif verb == "STATUS":
            role = "primary" if self.group.primary is self else "replica"
            row = "%s %d %d.%d %d 0 %d %d" % (
                role, self.group.term if role == "primary" else self.applied[0],
                *self.applied, 0, self.busy, self.open)
            done = b"DATAROW %s\r\nCOMPLETE -\r\n" % row.encode()
        else:
            done = await self.run(session, id, verb, rest)
            if done.startswith(b"COMPLETE") and verb == "READ":
                await self.group.world.send_rows(writer, rest)
        self.finish(session, writer, done)

    async def run(self, session, id, verb, rest):
        """Runs a read, a write or a commit on a slot."""
        if self.busy >= self.group.slots + 24:
            return b"ERROR BUSY x\r\n"
        self.busy += 1
        try:
            async with self.free_slots:
                await asyncio.sleep(0.008)
            signature = b"COMPLETE 1.%s\r\n" % id.encode()
            if verb == "EXECUTE":
                name, _, rest = rest.partition(" ")
                if name not in session["prepared"]:
                    return b"ERROR NOSUCHSTMT x\r\n"
                verb = session["prepared"][name][0]
            if verb == "READ":
                self.group.world.record("run READ id=%s at=%s" % (id, self.id))
                return signature
            if self.group.primary is not self:
                return b"ERROR READONLY x\r\n"
            self.group.world.record("run %s id=%s at=%s" % (verb, id, self.id))
            if verb == "WRITE" and session["state"] == "T":
                session["wrote"] += 1
                return signature
            if verb == "COMMIT":
                session["state"] = "I"
                if not session["wrote"]:
                    return signature
                session["wrote"] = 0
            self.applied = (self.group.term, self.applied[1] + 1)
            position = self.applied
            for other in self.group.backends:
                if other is not self and other.running:
                    asyncio.get_running_loop().call_later(
                        self.group.lag_s, other.receive, position
                    )
            return signature
        finally:
            self.busy -= 1

    def receive(self, position):
        if position > self.applied:
            self.applied = position


class Session:
    """A client's connection to a gateway."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @staticmethod
    async def open(port, database, timeout_s=2.0):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port, limit=4 << 20), timeout_s
        )
        session = Session(reader, writer)
        writer.write(b"STARTUP %s client\r\n" % database.encode())
        line = await asyncio.wait_for(reader.readuntil(b"\r\n"), timeout_s)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())
        return session

    async def ask(self, id, text):
        """Returns the outcome of a statement and the bytes of its rows."""
        self.writer.write(b"QUERY %s %s\r\n" % (id.encode(), text.encode()))
        outcome, rows = "none", 0
        while True:
            line = await self.reader.readuntil(b"\r\n")
            if line.startswith(b"DATAROW"):
                rows += len(line) - 10
            elif line.startswith(b"COMPLETE"):
                outcome = "done"
            elif line.startswith(b"ERROR"):
                outcome = line.split()[1].decode()
            elif line.startswith(b"READY"):
                return outcome, rows

    def close(self):
        self.writer.transport.abort()


def render(template, fields):
    """Fills in a template as the deploy pages describe."""

    def value_of(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        def section(match):
            value = value_of(match.group(1), scopes)
            if not value:
                return ""
            if isinstance(value, list):
                return "".join(fill(match.group(2), scopes + [{".": v}]) for v in value)
            if isinstance(value, dict):
                return "".join(fill(match.group(2), scopes + [{"@": k}]) for k in value)
            return fill(match.group(2), scopes)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

        def plain(match):
            name = match.group(1)
            if name in ("@", "."):
                return str(scopes[-1].get(name, ""))
            value = value_of(name, scopes)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([@\w.]+)\}\}", plain, text)

    return fill(template, [fields])


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, world, index):
        self.world = world
        self.name = "front-zone-%s-%d" % ("abcd"[index % 4], index // 4 + 1)
        self.zone = "zone-%s" % "abcd"[index % 4]
        self.front, self.ready, self.control, self.relay = free_ports(4)
        self.process = None
        self.ended = 0
        self.path = os.path.join(world.directory, self.name + ".ini")

    def fields(self, memory_mb):
        world = self.world
        return {
            "node_name": self.name,
            "zone": self.zone,
            "ip": HOST,
            "zones": {"zone-%s" % z: "region" for z in "abcd"},
            "listen_addrs": {
                "front": "%s:%d" % (HOST, self.front),
                "ready": "%s:%d" % (HOST, self.ready),
                "control": "%s:%d" % (HOST, self.control),
            },
            "internal_port_range": [self.relay, self.relay],
            "seeds": ["%s:%d" % (HOST, g.control) for g in world.gateways[:3]],
            "platform": {"address": "%s:%d" % (HOST, world.store.port)},
            "cloud": {"address": "%s:%d" % (HOST, world.cloud_port)},
            "bounds": {"grace_s": 6},
            "limits": {"memory_mb": memory_mb, "max_fds": 6300},
        }

    def start(self, memory_mb=390):
        with open(os.path.join(ROOT, "deploy", "gateway.ini")) as file:
            template = file.read()
        with open(self.path, "w") as file:
            file.write(render(template, self.fields(memory_mb)))
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "cli", "hornbeamtack"), "gateway", self.path],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=open(self.path + ".log", "a"),
            stderr=subprocess.STDOUT,
        )
        self.world.record("start %s pid=%d" % (self.name, self.process.pid))

    def resident_mb(self):
        """Memory that the process holds, in MB."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record("signal %s %s" % (self.name, signal.Signals(number).name))

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.ready), 1
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    """A small deployment: 5 gateways in 4 zones, 3 services of 3 backends."""

    def __init__(self, record, gateways=5, services=3, backends=3, slots=3,
                 connections=22, group=Group):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.cloud_port = 0
        self.orders = []
        self.groups = [
            group(self, "service-%d" % i, backends, slots, connections)
            for i in range(services)
        ]
        self.gateways = []
        self.gateway_count = gateways
        self.tasks = []

    async def send_rows(self, writer, item):
        """Sends the rows of a read; a case may replace this."""
        writer.write(b"DATAROW value-of-%s\r\n" % item.encode())

    def configuration(self, version):
        routes = []
        for group in self.groups:
            for kind, staleness in (("primary", None), ("bounded", 1500),
                                    ("read_your_writes", 2500)):
                route = {
                    "name": "r-%s-%s" % (kind, group.name),
                    "host": "%s-%s" % (kind, group.name),
                    "path_prefix": "/",
                    "type": kind,
                    "timeout_ms": 2000 if kind == "bounded" else 1000,
                    "target_latency_ms": 600,
                    "priority": 1,
                    "service": group.name,
                    "max_attempts": 2,
                }
                if staleness:
                    route["max_staleness_ms"] = staleness
                routes.append(route)
        services = [
            {"name": g.name, "max_connections": g.connections_max, "sync_replicas": g.sync_replicas}
            for g in self.groups
        ]
        return {"version": version, "routes": routes, "services": services,
                "limits": {"tx_idle_ms": 3000}}

    async def promote(self, reader, writer):
        """POST /promote of the platform, which checks no fence."""
        request = await read_request(reader)
        if request:
            _, path, headers, body = request
            order = json.loads(body)
            self.order(headers, order)
            group = next(g for g in self.groups if g.name == order["service"])
            backend = next((b for b in group.backends if b.id == order["id"]), None)
            if backend and backend.running:
                self.tasks.append(asyncio.ensure_future(group.promote(backend)))
                writer.write(response(200, {}))
            else:
                writer.write(response(409, {}))
            try:
                await writer.drain()
            except ConnectionError:
                pass
        writer.close()

    def order(self, headers, order):
        token = int(headers["x-fencing-token"])
        self.orders.append((self.record.now(), headers["x-duty-holder"], token, order))
        self.record("order holder=%s token=%d service=%s id=%s" % (
            headers["x-duty-holder"], token, order["service"], order["id"]))

    async def start(self):
        server = await asyncio.start_server(self.store.serve, HOST, 0)
        self.store.port = server.sockets[0].getsockname()[1]
        server = await asyncio.start_server(self.promote, HOST, 0)
        self.cloud_port = server.sockets[0].getsockname()[1]
        for group in self.groups:
            for backend in group.backends:
                await backend.start()
                backend.port = backend.server.sockets[0].getsockname()[1]
                self.tasks.append(asyncio.ensure_future(backend.register()))
        await self.store.put("op/config", self.configuration(1))
        for i in range(self.gateway_count):
            self.gateways.append(Gateway(self, i))
        for gateway in self.gateways:
            gateway.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all([await g.is_ready() for g in self.gateways]):
                await asyncio.sleep(3.2)
                self.record("all gateways are ready")
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        for name in os.listdir(self.directory):
            os.unlink(os.path.join(self.directory, name))
        os.rmdir(self.directory)


def run_case(directory, case, **options):
    """Runs a case within 110 s and exits with its verdict: 0 if the rule held, 1
    if it was broken, 2 if the case could not run."""
    record = Record(os.path.join(directory, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble=%d" % trouble)

    async def main():
        world = World(record, **options)
        verdict = 2
        try:
            if await world.start():
                verdict = await asyncio.wait_for(case(world, trouble), 90)
            else:
                record("the gateways did not become ready")
        except asyncio.TimeoutError:
            record("the case did not end in time")
        finally:
            world.stop()
            record("verdict=%d" % verdict)
            record.file.close()
            # Without waiting for the tasks that still run.
            os._exit(verdict)

    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
    asyncio.run(main())
