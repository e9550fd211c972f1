"""Stand-ins of the platform, of the databases and of clients, on loopback.

One process runs them all on one event loop, so that one record has the events
of all parties in the order in which they happened. The system's own programs
run as separate processes, which Gateway starts.
"""

import asyncio
import base64
import json
import os
import random
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
LINE_LIMIT = 2 * 1024 * 1024
# Longest run of a case.
RUN_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """Keeps the events of a run and writes them to record.txt."""

    def __init__(self, path):
        self.path = path
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append("%8.3f  %s" % (self.now(), text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


_ports = set()


def free_port():
    """Returns a free port. It lies below the range from which the system gives
    connections their own port, since it may be bound only later."""
    while True:
        port = random.randrange(20000, 32000)
        if port in _ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _ports.add(port)
        return port


async def read_http(reader):
    """Returns method, path, headers and body of a request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


async def answer_http(writer, status, value=None):
    body = b"" if value is None else json.dumps(value).encode()
    writer.write(b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                 b"Content-Length: %d\r\nConnection: close\r\n\r\n"
                 % (status, len(body)) + body)
    try:
        await writer.drain()
    except ConnectionError:
        pass
    writer.close()


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def commit(self, writes, removed):
        self.revision += 1
        for key, value in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                               "revision": self.revision, "created": created, "lease": 0}
            self.history.append(dict(self.items[key]))
        for key in removed:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision,
                                     "tombstone": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        self.commit([(key, json.dumps(value).encode())], [])

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        change = json.loads(body)
        expected = change.get("expected_rev", [])
        for row in expected:
            present = self.items.get(row["key"])
            if (present["revision"] if present else 0) != row["revision"]:
                return 412, {"items": [self.items[other["key"]] for other in expected
                                       if other["key"] in self.items]}
        writes = [(write["key"], base64.b64decode(write["value"]))
                  for write in change.get("writes", [])]
        return 200, {"revision": self.commit(writes, change.get("remove", []))}

    async def serve(self, reader, writer):
        try:
            method, path, _, body = await read_http(reader)
            parts = urllib.parse.urlsplit(path)
            query = dict(urllib.parse.parse_qsl(parts.query))
            await asyncio.sleep(0.004)
            if method == "POST" and parts.path == "/kv-txn":
                status, value = self.transact(body)
            elif parts.path == "/kv-range":
                rows = sorted(key for key in self.items
                              if key.startswith(query["path_prefix"])
                              and key > query.get("after", ""))
                status = 200
                value = {"items": [self.items[key] for key in rows], "truncated": False,
                         "as_of": self.revision}
            elif parts.path == "/kv-watch":
                status = 200
                value = await self.watch(query["path_prefix"], int(query["after"]),
                                         int(query["wait_ms"]))
            else:
                status, value = 404, None
            await answer_http(writer, status, value)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


class Cloud:
    """The address to which promotions are ordered."""

    def __init__(self, record, groups, promote_ms):
        self.record = record
        self.groups = groups
        self.promote_ms = promote_ms
        # How long the platform takes to begin with a call; 0: it is not slow.
        self.slow_s = 0.0
        self.orders = []
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        try:
            _, path, headers, body = await read_http(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
            return
        order = json.loads(body)
        holder = headers.get("x-duty-holder")
        token = int(headers.get("x-fencing-token", 0))
        group = self.groups[order["service"]]
        self.orders.append((holder, token, order["id"]))
        self.record.add("platform receives %s %s from %s with token %d"
                        % (path, order["id"], holder, token))
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
            self.record.add("platform carries out %s %s" % (path, order["id"]))
        asyncio.ensure_future(self.promote(group, order["id"]))
        await answer_http(writer, 200, {})

    async def promote(self, group, name):
        await asyncio.sleep(self.promote_ms / 1000)
        group.promote(name)


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, record, name, lag_ms):
        self.record = record
        self.name = name
        self.lag_ms = lag_ms
        self.backends = []
        self.term = 1
        # Id and text of each read, write and commit that a backend has run.
        self.texts = []
        # When each promotion took effect, and the new primary.
        self.promotions = []
        # Time, backend and statement ids of each commit that writes.
        self.commits = []

    def promote(self, name):
        chosen = next(backend for backend in self.backends if backend.name == name)
        if chosen.role == "primary" and chosen.term == self.term:
            return
        self.term += 1
        chosen.role = "primary"
        chosen.term = self.term
        self.promotions.append((self.record.now(), name))
        self.record.add("%s leads term %d from %s" % (name, self.term, chosen.position()))
        for backend in self.backends:
            if backend is not chosen:
                asyncio.ensure_future(self.follow(backend, chosen))
        chosen.announce()

    async def follow(self, backend, primary):
        """A backend that reaches a newer primary follows it within a second."""
        if backend.role == "primary":
            await asyncio.sleep(1)
        if primary.term < self.term:
            return
        backend.role = "replica"
        backend.term = primary.term
        backend.log = list(primary.log)
        backend.announce()

    async def replicate(self, primary, entry):
        await asyncio.sleep(self.lag_ms / 1000)
        for backend in self.backends:
            if (backend.role == "replica" and primary.role == "primary"
                    and primary.term == self.term and backend.answers
                    and len(backend.log) < len(primary.log)):
                backend.log = list(primary.log[:len(primary.log)])


class Backend:
    """A database server of a group."""

    def __init__(self, group, store, name, zone, slots, work_ms):
        self.group = group
        self.record = group.record
        self.store = store
        self.name = name
        self.zone = zone
        self.slots = slots
        self.free = asyncio.Semaphore(slots)
        self.work_ms = work_ms
        self.role = "replica"
        self.term = 1
        self.state = "ready"
        # Entries are (term, list of (statement id, item, data)).
        self.log = [(1, [])]
        self.sequence = 0
        self.connections = 0
        self.running = 0
        # False: the backend is dark, and nobody reaches it.
        self.answers = True
        self.writers = set()
        self.port = free_port()
        self.born = int(time.time() * 1000)
        group.backends.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port,
                                                 limit=LINE_LIMIT)
        self.announce()

    def announce(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, {
            "service": self.group.name, "address": "%s:%d" % (HOST, self.port),
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0, "db_role": self.role,
            "sequence": self.sequence, "born": self.born})

    def crash(self):
        """Ends the server: its connections are reset, and new ones refused."""
        self.record.add("%s crashes" % self.name)
        self.answers = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Starts a crashed server again, with its log. It is a replica if another
        one was promoted meanwhile."""
        primary = next(backend for backend in self.group.backends
                       if backend.role == "primary" and backend.term == self.group.term)
        if primary is not self:
            self.role = "replica"
            self.term = primary.term
            self.log = list(primary.log)
        self.answers = True
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, HOST, self.port,
                                                 limit=LINE_LIMIT)
        self.record.add("%s is back as %s" % (self.name, self.role))
        self.announce()

    def position(self):
        return "%d.%d" % (self.log[-1][0], len(self.log))

    def lacks(self, after):
        term, number = (int(part) for part in after.split("."))
        return (self.log[-1][0], len(self.log)) < (term, number)

    def value_of(self, item, pending):
        for _, writes in reversed(self.log + [(0, pending)]):
            for _, written, data in reversed(writes):
                if written == item:
                    return data
        return "none"

    def commit(self, connection, writes):
        entry = (self.term, list(writes))
        self.group.commits.append((self.record.now(), self.name, [write[0] for write
                                                                  in writes]))
        self.log.append(entry)
        self.record.add("%s commits %s with %s (connection %d)"
                        % (self.name, self.position(),
                           " ".join(write[0] for write in writes), connection["number"]))
        asyncio.ensure_future(self.group.replicate(self, entry))

    async def serve(self, reader, writer):
        connection = {"number": self.connections, "tx": None, "prepared": {},
                      "values": {}}
        self.connections += 1
        self.writers.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            words = line.split(" ")
            if words[1] != self.group.name or (len(words) > 3 and words[3] != self.name):
                writer.write(b"ERROR MOVED -\r\n")
                return
            await asyncio.sleep(0.012)
            writer.write(("READY I %s\r\n" % self.position()).encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
                if line.startswith("TERMINATE"):
                    return
                answer = await self.query(connection, line)
                writer.write(answer.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            if connection["tx"] and connection["tx"]["writes"]:
                self.record.add("%s rolls back: connection %d ended"
                                % (self.name, connection["number"]))
        finally:
            self.writers.discard(writer)
            writer.close()

    def ready(self, connection, failed=False):
        tx = connection["tx"]
        if failed and tx:
            tx["failed"] = True
        state = "I" if not tx else "E" if tx["failed"] else "T"
        return "READY %s %s\r\n" % (state, self.position())

    def success(self, connection, rows=()):
        text = "".join("DATAROW %s\r\n" % row for row in rows)
        return "%sCOMPLETE %s\r\n%s" % (text, secrets.token_hex(8), self.ready(connection))

    def error(self, connection, code):
        return "ERROR %s %s\r\n%s" % (code, self.name, self.ready(connection, True))

    async def query(self, connection, line):
        _, number, text = line.split(" ", 2)
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        words = text.split(" ")
        verb = words[0]
        tx = connection["tx"]
        if verb == "STATUS":
            row = "%s %d %s %d 0 %d %d" % (self.role, self.group.term if self.role ==
                                           "primary" and self.term == self.group.term
                                           else self.term, self.position(), self.term,
                                           self.running, len(self.writers))
            return "DATAROW %s\r\nCOMPLETE -\r\n%s" % (row, self.ready(connection))
        if verb == "ROLLBACK":
            if tx:
                self.record.add("%s rolls back %s (connection %d)" % (
                    self.name, " ".join(write[0] for write in tx["writes"]) or "nothing",
                    connection["number"]))
            connection["tx"] = None
            return "COMPLETE -\r\n" + self.ready(connection)
        if verb == "RESET":
            connection["prepared"].clear()
            connection["values"].clear()
            return "COMPLETE -\r\n" + self.ready(connection)
        if verb == "SET":
            connection["values"][words[1]] = " ".join(words[2:])
            return "COMPLETE -\r\n" + self.ready(connection)
        if verb == "PREPARE":
            connection["prepared"][words[1]] = (words[2], words[3])
            return "COMPLETE -\r\n" + self.ready(connection)
        if verb == "DEALLOC":
            connection["prepared"].pop(words[1], None)
            return "COMPLETE -\r\n" + self.ready(connection)
        if tx and tx["failed"] and verb != "COMMIT":
            return self.error(connection, "MALFORMED")
        if after and self.lacks(after):
            return self.error(connection, "LAGGING")
        if verb == "BEGIN":
            if len(words) == 1 and self.role != "primary":
                return self.error(connection, "READONLY")
            connection["tx"] = {"writes": [], "read_only": len(words) > 1, "failed": False}
            return "COMPLETE -\r\n" + self.ready(connection)
        async with self.free:
            self.running += 1
            await asyncio.sleep(self.work_ms / 1000)
            self.running -= 1
        return self.run(connection, number, words)

    def run(self, connection, number, words):
        verb = words[0]
        tx = connection["tx"]
        if verb == "EXECUTE":
            if words[1] not in connection["prepared"]:
                return self.error(connection, "NOSUCHSTMT")
            verb = connection["prepared"][words[1]][0]
            words = [verb] + words[2:]
        self.group.texts.append((number, " ".join(words)))
        self.record.add("%s runs %s %r%s (connection %d)" % (
            self.name, number, " ".join(words)[:60], " in a transaction" if tx else "",
            connection["number"]))
        if verb == "COMMIT":
            if not tx:
                return self.error(connection, "MALFORMED")
            connection["tx"] = None
            if tx["failed"]:
                return self.error(connection, "ABORTED")
            if tx["writes"]:
                if self.role != "primary":
                    return self.error(connection, "READONLY")
                self.commit(connection, tx["writes"])
            return self.success(connection)
        if verb == "READ":
            return self.success(connection, [self.value_of(words[1],
                                                           tx["writes"] if tx else [])])
        if verb != "WRITE":
            return self.error(connection, "MALFORMED")
        if self.role != "primary" or (tx and tx["read_only"]):
            return self.error(connection, "READONLY")
        write = (number, words[1], " ".join(words[2:]))
        if tx:
            tx["writes"].append(write)
        else:
            self.commit(connection, [write])
        return self.success(connection)


class Gateway:
    """One process of the system, started by the command of the deploy file."""

    def __init__(self, record, name, zone, store_port, cloud_port, seeds, folder):
        self.record = record
        self.name = name
        self.zone = zone
        self.front = free_port()
        self.ready_port = free_port()
        self.control = free_port()
        self.store_port = store_port
        self.cloud_port = cloud_port
        self.seeds = seeds
        self.folder = folder
        self.process = None
        self.starts = 0

    def render(self):
        """Fills in the template as the platform does."""
        with open(os.path.join(ROOT, "deploy", "gateway.ini"), encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}",
                      " ".join("%s:%d" % (HOST, port) for port in self.seeds), text)
        fields = {"node_name": self.name, "zone": self.zone,
                  "listen_addrs.front": "%s:%d" % (HOST, self.front),
                  "listen_addrs.ready": "%s:%d" % (HOST, self.ready_port),
                  "listen_addrs.control": "%s:%d" % (HOST, self.control),
                  "platform.address": "%s:%d" % (HOST, self.store_port),
                  "cloud.address": "%s:%d" % (HOST, self.cloud_port),
                  "bounds.grace_s": "6"}
        for name, value in fields.items():
            text = text.replace("{{%s}}" % name, value)
        if "{{" in text:
            raise CannotRun("the template has fields that are not known here")
        return text

    def start(self):
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.render())
        program = os.path.join(ROOT, "target", "cli", "hornbeamtack")
        if not os.path.exists(program):
            raise CannotRun("no build of the deploy file")
        self.starts += 1
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [program, "gateway", path], cwd=ROOT, stdout=log, stderr=log,
                env={name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                     if name in os.environ})
        self.record.add("start of %s" % self.name)

    def signal(self, number):
        self.record.add("signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def stop(self):
        if self.runs():
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self, limit_s=0.9):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.ready_port), limit_s)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), limit_s)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False


class Closed(Exception):
    """The connection ended before the answer was complete."""


class Session:
    """A client's session: one connection."""

    def __init__(self, record, name):
        self.record = record
        self.name = name

    async def open(self, port, database):
        self.reader, self.writer = await asyncio.open_connection(HOST, port,
                                                                 limit=LINE_LIMIT)
        self.writer.write(("STARTUP %s %s\r\n" % (database, self.name)).encode())
        line = await self.line()
        if not line.startswith("READY"):
            raise Closed(line)

    async def line(self):
        try:
            return (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            raise Closed("the connection ended") from error

    async def query(self, number, text):
        """Sends a statement. Returns the answer's lines, the last is READY."""
        self.record.add("%s sends %s %r" % (self.name, number, text[:70]))
        self.writer.write(("QUERY %s %s\r\n" % (number, text)).encode())
        answer = []
        while not answer or not answer[-1].startswith("READY"):
            answer.append(await self.line())
        self.record.add("%s gets for %s: %s" % (self.name, number, " / ".join(answer)))
        return answer

    def close(self):
        self.writer.close()


class Deployment:
    """The stand-ins and the processes of a small deployment."""

    def __init__(self, folder, promote_ms=1000, lag_ms=8, slots=5, work_ms=11,
                 services=1):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.groups = {}
        for number in range(services):
            name = "workshop-ledger-%d" % number
            group = Group(self.record, name, lag_ms)
            for index, zone in enumerate(("kr-south-a", "kr-south-b", "kr-south-c")):
                Backend(group, self.store, "i-%d%s" % (number, "pqr"[index]), zone, slots,
                        work_ms)
            group.backends[0].role = "primary"
            self.groups[name] = group
        self.cloud = Cloud(self.record, self.groups, promote_ms)
        self.gateways = []

    def add_gateway(self, name, zone, store_port=None, cloud_port=None):
        seeds = [gateway.control for gateway in self.gateways[:3]]
        gateway = Gateway(self.record, name, zone, store_port or self.store.port,
                          cloud_port or self.cloud.port, seeds, self.scratch.name)
        self.gateways.append(gateway)
        return gateway

    def configuration(self):
        routes = []
        for number, name in enumerate(self.groups):
            for kind, database, timeout, aim, age in (
                    ("primary", "intake-%d" % number, 1000, 200, None),
                    ("bounded", "board-%d" % number, 3000, 800, 1500),
                    ("read_your_writes", "pickup-%d" % number, 1000, 400, 2500)):
                route = {"name": "r-" + database, "host": database, "path_prefix": "/",
                         "type": kind, "timeout_ms": timeout, "target_latency_ms": aim,
                         "priority": 1, "service": name, "max_attempts": 2}
                if age:
                    route["max_staleness_ms"] = age
                routes.append(route)
        services = [{"name": name, "health_path": "/health", "max_connections": 60,
                     "protocol": "h1", "tls": False, "sync_replicas": 0}
                    for name in self.groups]
        return {"version": 7, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                           "tx_idle_ms": 3000}}

    async def start(self):
        await self.store.start()
        await self.cloud.start()
        self.store.put("op/config", self.configuration())
        for group in self.groups.values():
            for backend in group.backends:
                await backend.start()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await self.wait_until(gateway.is_ready, 15, gateway.name + " is not ready")
        # The first grants follow within a second of the registration.
        await asyncio.sleep(2)

    async def wait_until(self, check, limit_s, failure):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(failure)

    def end(self):
        for gateway in self.gateways:
            gateway.stop()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                with open(os.path.join(self.scratch.name, gateway.name + ".log"),
                          encoding="utf-8") as log:
                    self.record.lines.extend(line.rstrip() for line in log)
        self.record.write()
        self.scratch.cleanup()


def play(folder, make, play_case):
    """Runs a case and ends the process with its exit code: 1 if the rule was
    broken, 0 if it held, 2 if the case could not run. The first argument of the
    program, "with" or "without", says whether the disruption takes place."""
    if sys.argv[1:] not in (["with"], ["without"]):
        sys.exit(2)
    trouble = sys.argv[1] == "with"

    async def run():
        deployment = make(folder)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)

        async def start_and_play():
            await deployment.start()
            return await play_case(deployment, trouble)

        try:
            broken = await asyncio.wait_for(start_and_play(), RUN_LIMIT_S)
            for line in broken:
                deployment.record.add("BROKEN: " + line)
            deployment.record.add("result: %s" % ("broken" if broken else "held"))
            return 1 if broken else 0
        except BaseException as error:  # pylint: disable=broad-exception-caught
            deployment.record.add("could not run: %r" % error)
            return 2
        finally:
            deployment.end()

    code = asyncio.new_event_loop().run_until_complete(run())
    # All processes have ended. The tasks that wait at their connections need no
    # orderly end.
    os._exit(code)
