"""A service with sync_replicas = 1: one replica receives nothing for a while, the
other one is lost for good, and the primary is to be replaced."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import world as w  # noqa: E402

DEAF_S = 6.5
PROMOTE_S = 0.3
LAG_S = 0.02
# A backend that drains goes on for drain_ms and "a little longer".
DRAIN_S = 12


class Backend(w.Backend):
    """A backend that acknowledges a commit once a replica has received it."""

    def __init__(self, group, index):
        super().__init__(group, index)
        self.log = []
        self.term = 1
        self.leads = index == 0
        self.deaf = False
        self.acknowledge = []

    def entry(self):
        entry = super().entry()
        entry["db_role"] = "primary" if self.leads else "replica"
        return entry

    @property
    def position(self):
        return (self.log[-1][0], len(self.log)) if self.log else (1, 0)

    def finish(self, session, writer, text):
        writer.write(text + b"READY I %d.%d\r\n" % self.position)

    async def query(self, session, id, text, writer):
        verb = text.split(" ")[0]
        if verb == "STATUS":
            row = "%s %d %d.%d 0 0 %d %d" % (
                "primary" if self.leads else "replica", self.term, *self.position,
                self.busy, self.open)
            done = b"DATAROW %s\r\nCOMPLETE -\r\n" % row.encode()
        elif verb == "WRITE":
            done = await self.commit(id)
        else:
            done = b"COMPLETE -\r\n"
        self.finish(session, writer, done)

    async def commit(self, id):
        if not self.leads:
            return b"ERROR READONLY x\r\n"
        self.log.append((self.term, id))
        received = asyncio.Event()
        self.acknowledge.append((len(self.log), received))
        try:
            await asyncio.wait_for(received.wait(), 5)
        except asyncio.TimeoutError:
            return b"ERROR TIMEOUT x\r\n"
        self.group.world.record("run commit id=%s at=%s" % (id, self.id))
        return b"COMPLETE 1.%s\r\n" % id.encode()

    async def receive_always(self):
        """Receives the log of the newest primary."""
        while True:
            await asyncio.sleep(LAG_S)
            primary = self.group.primary
            if self.leads or self.deaf or not (self.running and primary.running):
                continue
            same = 0
            for mine, its in zip(self.log, primary.log):
                if mine != its:
                    break
                same += 1
            self.log = self.log[:same] + primary.log[same:]
            self.term = primary.term
            for waiting in list(primary.acknowledge):
                if waiting[0] <= len(self.log):
                    waiting[1].set()
                    primary.acknowledge.remove(waiting)


class Group(w.Group):
    sync_replicas = 1

    def backend(self, index):
        return Backend(self, index)

    async def promote(self, backend):
        if backend is self.primary:
            return
        await asyncio.sleep(PROMOTE_S)
        old, self.primary = self.primary, backend
        self.term += 1
        backend.leads, backend.term = True, self.term
        kept = {id for _, id in backend.log}
        missing = [id for id in self.world.acknowledged if id not in kept]
        self.world.promotions.append((backend.id, missing))
        self.world.record("promoted %s term=%d log=%d; old primary %s runs=%s log=%d; "
                          "acknowledged commits that are missing: %d"
                          % (backend.id, self.term, len(backend.log), old.id,
                             old.running, len(old.log), len(missing)))
        await asyncio.sleep(1)
        old.leads = False


async def client(world, gateway):
    number = 0
    while True:
        session = None
        try:
            session = await w.Session.open(gateway.front, "primary-service-0")
            while True:
                number += 1
                id = "%s-%d" % (gateway.name, number)
                outcome, _ = await asyncio.wait_for(session.ask(id, "WRITE item x"), 3)
                world.record("answer id=%s outcome=%s" % (id, outcome))
                if outcome == "done":
                    world.acknowledged.append(id)
                await asyncio.sleep(0.03)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)
        finally:
            if session:
                session.close()


async def end_drained(backend):
    await asyncio.sleep(DRAIN_S)
    backend.crash()


async def case(world, trouble):
    world.acknowledged = []
    world.promotions = []
    group = world.groups[0]
    primary, deaf, lost = group.backends
    for backend in group.backends:
        world.tasks.append(asyncio.ensure_future(backend.receive_always()))
    for gateway in world.gateways:
        world.tasks.append(asyncio.ensure_future(client(world, gateway)))
    await asyncio.sleep(2)
    begin = time.monotonic()
    if trouble:
        # Long enough after its last heartbeat for the entry to go in time.
        while time.monotonic() < lost.beat + 0.6:
            await asyncio.sleep(0.05)
        begin = time.monotonic()
        deaf.deaf = True
        world.record("%s receives nothing" % deaf.id)
        await asyncio.sleep(0.3)
        lost.crash()
        world.record("%s is lost for good" % lost.id)
    await asyncio.sleep(0.5)
    primary.state = "draining"
    await world.store.put("servers/" + primary.id, primary.entry())
    world.record("%s drains" % primary.id)
    world.tasks.append(asyncio.ensure_future(end_drained(primary)))
    await asyncio.sleep(begin + DEAF_S - time.monotonic())
    deaf.deaf = False
    if trouble:
        world.record("%s receives again" % deaf.id)
    await asyncio.sleep(5)
    if not world.promotions:
        return 0 if trouble else 2
    return 1 if any(missing for _, missing in world.promotions) else 0


w.run_case(HERE, case, services=1, group=Group)
