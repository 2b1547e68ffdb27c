"""Two entries are killed and start again. A worker leaves in between: a third entry, which relies on them
for the list of workers, never learns of it and goes on sending requests to the worker."""

import os
import shutil
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE, SERVICE, SLOTS, WORK_S = "zone-a", "orders", 6, 0.02
ENTRIES, WORKERS = 3, 3
KILL_S = 4.0  # after the start of traffic
LEAVE_AFTER_S = 0.25  # after the kill
START_AFTER_S = 0.5
SERVES_ON_S = 14.0  # for which the worker that left still serves
DRAIN_S, CONTACT_S = 2.0, 3.0
END_S = 20.0

record = s.Record("record.txt")


class Worker:
    def __init__(self, number, store):
        self.ident, self.store = f"i-{number}", store
        self.lock, self.active, self.arrivals = threading.Lock(), 0, []
        self.server = s.Server((f"127.0.0.{60 + number}", 0), self.handle)
        self.row = {
            "service": SERVICE, "address": "%s:%d" % self.server.address, "zone": ZONE, "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": int(time.time() * 1000),
        }
        store.put("servers", self.ident, self.row)

    def leave(self):
        """Leaves without reporting `draining`: its entry is removed, and it serves on for a time."""
        return self.store.put("servers", self.ident, None)

    def handle(self, conn, request):
        ident = request.headers.get("agatepin-attempt-id", "")
        same = (("Agatepin-Attempt-Id", ident),)
        if request.path == "/health":
            return conn.reply(200, (("Agatepin-Instance-Id", self.ident),))
        if request.headers.get("agatepin-expect-instance") not in (None, self.ident):
            return conn.reply(421, same + (("Agatepin-Not-Executed", "1"),))
        self.arrivals.append((s.now(), ident))
        with self.lock:
            if self.active >= SLOTS:
                return conn.reply(503, same + (("Agatepin-Not-Executed", "1"),))
            self.active += 1
        time.sleep(WORK_S)
        with self.lock:
            self.active -= 1
        conn.reply(200, same + (("Agatepin-Response-Seal", f"{self.ident}.{ident}"),), b"done")


def main():
    folder = tempfile.mkdtemp(prefix="review-2-")
    daemons = []
    try:
        store = s.Store(record)
        store.put("op", "config", {
            "version": 3,
            "routes": [{
                "name": "r-1", "host": "a.example", "prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 2000,
                "goal_ms": 300, "priority": 2, "service": SERVICE, "max_attempts": 1, "anonymous": False,
                "home_regions": [],
            }],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0,
                          "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1, "home_regions": []}],
        })
        workers = [Worker(number, store) for number in range(WORKERS)]
        ips = [f"127.0.0.{20 + n}" for n in range(ENTRIES)]
        port = s.free_port(ips)
        entries = [s.entry(f"front-{n}", ip, ZONE, store, port, folder) for n, ip in enumerate(ips)]
        daemons = entries
        for daemon in daemons:
            daemon.start()
        if not s.wait_ready(entries, 15):
            record.line("the entries are not ready")
            return 2
        time.sleep(6)
        begin = time.monotonic()
        counts, sent = {}, {}

        def caller(number):
            while time.monotonic() < begin + END_S:
                entry = number % ENTRIES
                at = s.now()
                ident, status, _, _ = s.call(entries[entry].listen["front"], "a.example", "/order/new", b"order",
                                             "key-a", 2000)
                sent[ident] = (at, entry)
                counts[status] = counts.get(status, 0) + 1
                time.sleep(0.05)

        for number in range(3 * ENTRIES):
            threading.Thread(target=caller, args=(number,), daemon=True).start()

        def at(seconds):
            time.sleep(max(0.0, begin + seconds - time.monotonic()))

        at(KILL_S)
        if TROUBLE:
            for daemon in entries[:2]:
                daemon.kill()
                record.line(f"{daemon.node} is killed")
        at(KILL_S + LEAVE_AFTER_S)
        leaver = workers[-1]
        acked = leaver.leave()
        record.line(f"{leaver.ident} leaves: its entry is removed, acknowledged at {acked:.3f}")
        at(KILL_S + START_AFTER_S)
        if TROUBLE:
            for daemon in entries[:2]:
                daemon.start()
                record.line(f"{daemon.node} starts again")
        at(KILL_S + LEAVE_AFTER_S + SERVES_ON_S)
        arrivals = list(leaver.arrivals)
        leaver.server.crash()
        record.line(f"{leaver.ident} exits")
        at(END_S + 0.5)
        # Only of the entry that ran all the while, which is in touch.
        late = [(when, ident) for when, ident in arrivals
                if when > acked + DRAIN_S and sent.get(ident, (0, -1))[1] == ENTRIES - 1]
        for when, ident in late:
            record.line(f"{ident}, sent to front-{ENTRIES - 1} at {sent[ident][0]:.3f}, reached {leaver.ident} at "
                        f"{when:.3f}, {when - acked:.3f} s after its leaving was acknowledged")
        last = f"; the last {late[-1][0] - acked:.1f} s after" if late else ""
        text = f"{len(late)} requests reached the worker later than {DRAIN_S} s after its leaving was acknowledged{last}; " \
               f"answers {counts}"
        record.line(text)
        print(text)
        if counts.get(200, 0) < 500 or entries[-1].process.poll() is not None:
            return 2
        return 1 if late else 0
    finally:
        for daemon in daemons:
            daemon.kill()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


s.exit_with(main)
