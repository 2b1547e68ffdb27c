"""A request that may not be repeated crashes each worker that begins to run it, and comes again: the
entries pass it on again and again."""

import json
import os
import shutil
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KIND = os.environ.get("KIND", "non_idempotent")
ZONE, SERVICE, SLOTS, WORK_S = "zone-a", "orders", 6, 0.03
WORKERS = 6
BACK_S = 3.0  # "the worker is back after some seconds"
COMES_AGAIN_S = 2.0
CONTACT_S = 3.0
END_S = 45.0
DEADLY = b"deadly" + b"x" * 400

record = s.Record("record.txt")


class Worker:
    """A worker of a plain service. It crashes when it begins to run the deadly request."""

    crashes = []  # times
    arrivals = []  # times at which the deadly request reached a worker

    def __init__(self, number, store):
        self.number, self.store, self.life = number, store, 0
        self.lock = threading.Lock()
        self.address = (f"127.0.0.{60 + number}", 0)
        self.begin()
        threading.Thread(target=self.beat, daemon=True).start()

    def begin(self):
        self.life += 1
        self.ident = f"i-{self.number}-{self.life}"
        self.born = int(time.time() * 1000)
        self.active, self.up = 0, True
        self.server = s.Server(self.address, self.handle)
        self.address = self.server.address
        self.store.put("servers", self.ident, {
            "service": SERVICE, "address": "%s:%d" % self.address, "zone": ZONE, "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": self.life, "born": self.born,
        })
        record.line(f"{self.ident} starts")

    def beat(self):
        while True:
            time.sleep(0.1)
            if self.up:
                continue
            gone = self.ident
            time.sleep(BACK_S)
            self.begin()
            # The row of the life that ended is removed after three heartbeats of silence.
            time.sleep(max(0.0, 3.6 - BACK_S))
            self.store.put("servers", gone, None)

    def handle(self, conn, request):
        ident = request.headers.get("agatepin-attempt-id", "")
        same = (("Agatepin-Attempt-Id", ident),)
        if request.path == "/health":
            return conn.reply(200, (("Agatepin-Instance-Id", self.ident),))
        if request.headers.get("agatepin-expect-instance") not in (None, self.ident):
            return conn.reply(421, same + (("Agatepin-Not-Executed", "1"),))
        with self.lock:
            if self.active >= SLOTS:
                return conn.reply(503, same + (("Agatepin-Not-Executed", "1"),))
            self.active += 1
        try:
            if request.body == DEADLY:
                Worker.arrivals.append(s.now())
                record.line(f"{self.ident} begins to run the deadly request {ident}")
                if TROUBLE:
                    Worker.crashes.append(s.now())
                    record.line(f"{self.ident} crashes")
                    self.up = False
                    self.server.crash()
                    raise s.Closed()
            time.sleep(WORK_S)
            body = f"done {ident}".encode()
            conn.reply(200, same + (("Agatepin-Response-Seal", f"{self.ident}.{ident}"),), body)
        finally:
            with self.lock:
                self.active -= 1


def main():
    folder = tempfile.mkdtemp(prefix="review-4-")
    daemons = []
    try:
        store = s.Store(record)
        store.put("op", "config", {
            "version": 3,
            "routes": [{
                "name": "r-1", "host": "a.example", "prefix": "/order/", "kind": KIND, "timeout_ms": 2000,
                "goal_ms": 300, "priority": 2, "service": SERVICE,
                "max_attempts": 1 if KIND == "non_idempotent" else 2, "anonymous": False, "home_regions": [],
            }],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0,
                          "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1, "home_regions": []}],
        })
        workers = [Worker(number, store) for number in range(WORKERS)]
        ips = ["127.0.0.20", "127.0.0.21"]
        port = s.free_port(ips)
        entries = [s.entry(f"front-{n}", ip, ZONE, store, port, folder) for n, ip in enumerate(ips)]
        daemons = entries
        for daemon in daemons:
            daemon.start()
        if not s.wait_ready(entries, 15):
            record.line("the entries are not ready")
            return 2
        time.sleep(4)
        begin = time.monotonic()
        counts, deadly = {}, {}

        def caller(number):
            sent = 0
            while time.monotonic() < begin + END_S:
                sent += 1
                front = entries[number % 2].listen["front"]
                body = f"order {number} {sent}".encode()
                ident, status, _, whole = s.call(front, "a.example", "/order/new", body, "key-a", 2000)
                counts[(status, whole)] = counts.get((status, whole), 0) + 1
                record.line(f"caller {number} sent {ident}: {status}")
                time.sleep(0.3)

        for number in range(6):
            threading.Thread(target=caller, args=(number,), daemon=True).start()
        turn = 0
        while time.monotonic() < begin + END_S:
            front = entries[turn % 2].listen["front"]
            ident, status, _, _ = s.call(front, "a.example", "/order/new", DEADLY, "key-a", 2000)
            record.line(f"the deadly request was sent as {ident} to front-{turn % 2}: {status}")
            deadly[status] = deadly.get(status, 0) + 1
            turn += 1
            time.sleep(COMES_AGAIN_S)
        time.sleep(1)
        late = 0
        if len(Worker.crashes) >= 3:
            late = sum(at > Worker.crashes[2] + CONTACT_S for at in Worker.arrivals)
        text = f"{len(Worker.crashes)} crashes; the deadly request reached workers {late} times later than " \
               f"{CONTACT_S} s after the third; its answers {deadly}; other answers {counts}"
        record.line(text)
        print(text)
        if counts.get((200, True), 0) < 100:
            return 2
        return 1 if late > 3 else 0
    finally:
        for daemon in daemons:
            daemon.kill()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


s.exit_with(main)
