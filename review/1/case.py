"""An agent gives up a load order that its slow worker accepts a little later, and meanwhile stages
pieces of the next version: the worker loads a mixture of two versions."""

import hashlib
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
MODEL, PIECES, LAYERS, ZONE, SERVICE = "model-a", 48, 16, "zone-a", "assistant"
SLOTS = 16
# A worker needs ACCEPT_S to accept an order, before it answers 202; other work is as fast as on the
# sites. With srv_slow, one of seven workers works SLOW times as long for SLOW_FOR_S.
ACCEPT_S, STAGE_S, LOAD_S, STEP_S = 0.2, 0.001, 0.3, 0.007
SLOW, SLOW_FOR_S = 4.0, 8.0
AGENTS = 7
# Each round names two versions, GAP_S apart, and one other worker is slow around the load of the first.
ROUNDS, ROUND_S, GAP_S, SLOW_AFTER_S = 4, 15.0, 4.0, 2.5
FIRST_ROUND_S = 3.0
END_S = FIRST_ROUND_S + ROUNDS * ROUND_S

record = s.Record("record.txt")


class Worker:
    """A model worker beside an agent. It holds version 1 at the start, which is also staged."""

    def __init__(self, number, store):
        self.ident, self.store, self.number = f"i-{number:04x}", store, number
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.stage = {num: s.piece(MODEL, 1, num) for num in range(PIECES)}
        self.version, self.mixed, self.busy, self.seq = 1, False, False, 0
        self.epoch = 0  # counts loads: a load with `truncate` cuts what runs
        self.active = 0
        self.slow = 1.0
        self.server = s.Server((f"127.0.0.{40 + number}", 0), self.handle)
        self.address = "%s:%d" % self.server.address
        self.broken = 0

    def row(self):
        return {
            "service": SERVICE, "address": self.address, "zone": ZONE, "version": "v1", "slots": SLOTS,
            "state": "ready", "cold_left_ms": 0, "stage": "unified", "seq": self.seq, "born": self.born,
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "layers": {"from": 0, "target": LAYERS, "version": self.version},
        }

    def beat(self):
        last = None
        while True:
            row = self.row()
            if row != last:
                self.store.put("servers", self.ident, row)
                last = row
            time.sleep(1.2)

    def handle(self, conn, request):
        path = request.path
        if path == "/report":
            with self.lock:
                report = dict(self.row(), busy=self.busy, queued=0, active=self.active, kv_used=0,
                              kv_max=90000, handles=0)
            return conn.reply(200, s.JSON, json.dumps(report).encode())
        if path.startswith("/stage-put/"):
            time.sleep(STAGE_S * self.slow)
            with self.lock:
                self.stage[int(request.query["num"])] = request.body
            return conn.reply(200, s.JSON, b"{}")
        if path.startswith("/stage-get/"):
            time.sleep(STAGE_S * self.slow)
            with self.lock:
                if "num" not in request.query:
                    held = json.dumps({"held": sorted(self.stage)}).encode()
                    return conn.reply(200, s.JSON, held)
                data = self.stage.get(int(request.query["num"]))
            return conn.reply(404) if data is None else conn.reply(200, (), data)
        if path == "/order":
            return self.order(conn, json.loads(request.body))
        if path == "/health":
            return conn.reply(200, (("Agatepin-Instance-Id", self.ident),))
        return self.run(conn, request)

    def order(self, conn, order):
        version = order["version"]
        record.line(f"{self.ident} gets the order to load version {version}, expected {order.get('expected')}")
        time.sleep(ACCEPT_S * self.slow)
        with self.lock:
            if self.busy or order.get("expected", self.seq) != self.seq:
                record.line(f"{self.ident} answers 409 to the order for version {version}")
                return conn.reply(409, s.JSON, b"{}")
            if self.version == version:
                return conn.reply(200, s.JSON, b"{}")
            self.seq += 1
            self.busy = True
            self.epoch += 1
            other = [n for n in range(PIECES) if self.stage.get(n) != s.piece(MODEL, version, n)]
        record.line(f"{self.ident} accepts the order for version {version}; pieces that are not of it: {other}")
        threading.Thread(target=self.load, args=(version, bool(other)), daemon=True).start()
        conn.reply(202, s.JSON, b"{}")

    def load(self, version, mixed):
        time.sleep(LOAD_S * self.slow)
        with self.lock:
            self.version, self.mixed, self.busy = version, mixed, False
        record.line(f"{self.ident} holds version {version}{' WITH OTHER PIECES' if mixed else ''}")

    def run(self, conn, request):
        ident = request.headers.get("agatepin-attempt-id", "")
        same = (("Agatepin-Attempt-Id", ident),)
        expect = request.headers.get("agatepin-expect-instance")
        expect_version = request.headers.get("agatepin-expect-version")
        with self.lock:
            if expect not in (None, self.ident) or expect_version not in (None, str(self.version)):
                return conn.reply(421, same + (("Agatepin-Not-Executed", "1"),))
            if self.busy or self.active >= SLOTS:
                return conn.reply(503, same + (("Agatepin-Not-Executed", "1"),))
            self.active += 1
            epoch, version, mixed = self.epoch, self.version, self.mixed
        try:
            head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAgatepin-Attempt-Id: {ident}\r\n"
            head += f"Agatepin-Response-Seal: {self.ident}.{ident}\r\nAgatepin-Weight-Versions: {version}\r\n"
            head += "Transfer-Encoding: chunked\r\n\r\n"
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, 13):
                time.sleep(STEP_S * 6 * self.slow)
                if self.epoch != epoch:
                    raise s.Closed()  # cut by a load
                if number == first:
                    record.line(f"{self.ident} makes the first token of {ident} on version {version}"
                                f"{' WITH OTHER PIECES' if mixed else ''}")
                    conn.send(head.encode())
                    self.broken += mixed
                event = f"id: {number}\ndata: {version}\n\n".encode()
                conn.send(b"%x\r\n%s\r\n" % (len(event), event))
            conn.send(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.active -= 1


def main():
    folder = tempfile.mkdtemp(prefix="review-1-")
    daemons = []
    try:
        store = s.Store(record)
        origin = s.Origin(MODEL, PIECES, 15.0, record)
        workers = [Worker(number, store) for number in range(AGENTS)]
        engine = {
            "slots": SLOTS, "kv_capacity": 1640000, "kv_token_bytes": 163840, "stride": 6,
            "models": [{"name": MODEL, "pace": 1.0, "load_time_s": 4.0, "warmup_s": LOAD_S}],
            "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
            "chunk": 2048, "layers": LAYERS, "chunks": PIECES, "chunk_size_bytes": s.PIECE_BYTES,
        }
        store.put("op", "config", {
            "version": 3,
            "routes": [{
                "name": "r-1", "host": "a.example", "prefix": "/ask/", "kind": "streaming", "timeout_ms": 6000,
                "goal_ms": 400, "priority": 1, "service": SERVICE, "max_attempts": 2, "anonymous": False,
                "sticky": True, "resumable": True, "gap_target_ms": 300, "home_regions": [],
            }],
            "services": [
                {"name": SERVICE, "health_path": "/health", "max_conns": 434, "cold_start_s": 3.0,
                 "cold_per_s": 38.0, "engine": engine},
                {"name": "origin", "origin": origin.address, "zone": ZONE, "link_mbps": 15.0, "max_conns": 48},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1, "home_regions": []}],
        })
        for worker in workers:
            threading.Thread(target=worker.beat, daemon=True).start()
        ips = ["127.0.0.20", "127.0.0.21"] + [f"127.0.0.{40 + n}" for n in range(AGENTS)]
        port = s.free_port(ips)
        entries = [s.entry(f"front-{n}", ips[n], ZONE, store, port, folder) for n in range(2)]
        agents = [
            s.Daemon("agent", f"side-{n}", f"127.0.0.{40 + n}", ZONE, store, port, folder,
                     app=worker.address, service=SERVICE, link_mbps=9.4)
            for n, worker in enumerate(workers)
        ]
        daemons = entries + agents
        for daemon in daemons:
            daemon.start()
        if not s.wait_ready(entries, 15):
            record.line("the entries are not ready")
            return 2
        time.sleep(2)
        begin = time.monotonic()
        counts = {}

        def caller(number):
            while time.monotonic() < begin + END_S:
                front = entries[number % 2].listen["front"]
                extra = (("Agatepin-Model", MODEL), ("Agatepin-Token-Counts", "600,72"),
                         ("Agatepin-Prompt-Prefix", f"{number:x}a:40,{number:x}b{int(time.time() * 1000):x}:560"))
                ident, status, _, whole = s.call(front, "a.example", "/ask/q", b"x" * 300, "key-a", 6000, extra=extra)
                key = (status, whole)
                counts[key] = counts.get(key, 0) + 1
                record.line(f"caller {number} sent {ident}: {status}{'' if whole else ', not whole'}")
                time.sleep(0.2)

        for number in range(14):
            threading.Thread(target=caller, args=(number,), daemon=True).start()

        def at(seconds):
            time.sleep(max(0.0, begin + seconds - time.monotonic()))

        def name(version):
            origin.named = version
            store.put("op", f"version/{MODEL}", {"model": MODEL, "version": version})
            record.line(f"version {version} is named")

        for number in range(ROUNDS):
            first = FIRST_ROUND_S + number * ROUND_S
            worker = workers[number]
            at(first)
            name(2 + 2 * number)
            at(first + SLOW_AFTER_S)
            if TROUBLE:
                worker.slow = SLOW
                record.line(f"{worker.ident} turns slow: its work takes {SLOW} times as long")
            at(first + GAP_S)
            name(3 + 2 * number)
            at(first + SLOW_AFTER_S + SLOW_FOR_S)
            if TROUBLE:
                worker.slow = 1.0
                record.line(f"{worker.ident} works as before")
        at(END_S + 1)
        if any(daemon.process.poll() is not None for daemon in daemons):
            record.line("a process ended by itself")
        served = counts.get((200, True), 0)
        broken = sum(worker.broken for worker in workers)
        record.line(f"answers {counts}; streams whose first token was made with pieces of another version: {broken}")
        print(f"answers {counts}; WHOLE broken {broken}")
        if served < 100:
            return 2
        return 1 if broken else 0
    finally:
        for daemon in daemons:
            daemon.kill()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


s.exit_with(main)
