"""A stream crashes each worker that begins to run it, with its first token: the entries resume it at
another worker, and pass it on each time that it comes again."""

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
# With FIRST_EVENT=0 the worker crashes before its first event; the entries then find the request out.
FIRST_EVENT = os.environ.get("FIRST_EVENT", "1") != "0"
MODEL, ZONE, SERVICE, SLOTS, STEP_S = "model-a", "zone-a", "assistant", 16, 0.04
WORKERS = 8
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
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "layers": {"from": 0, "target": 16, "version": 1},
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
            deadly = request.body == DEADLY
            if deadly:
                Worker.arrivals.append(s.now())
                record.line(f"{self.ident} begins to run the deadly request {ident}, "
                            f"after event {request.headers.get('last-event-id', 'none')}")
            head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAgatepin-Attempt-Id: {ident}\r\n"
            head += f"Agatepin-Response-Seal: {self.ident}.{ident}\r\nAgatepin-Weight-Versions: 1\r\n"
            head += "Transfer-Encoding: chunked\r\n\r\n"
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, 13):
                time.sleep(STEP_S)
                crashes = deadly and TROUBLE
                if number == first and (FIRST_EVENT or not crashes):
                    conn.send(head.encode())
                event = f"id: {number}\ndata: token\n\n".encode()
                if FIRST_EVENT or not crashes:
                    conn.send(b"%x\r\n%s\r\n" % (len(event), event))
                if crashes:
                    time.sleep(0.005)
                    Worker.crashes.append(s.now())
                    record.line(f"{self.ident} crashes")
                    self.up = False
                    self.server.crash()
                    raise s.Closed()
            conn.send(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.active -= 1


def headers(shared, own):
    return (("Agatepin-Model", MODEL), ("Agatepin-Token-Counts", "600,12"),
            ("Agatepin-Prompt-Prefix", f"{shared}:40,{own}:560"))


def main():
    folder = tempfile.mkdtemp(prefix="review-5-")
    daemons = []
    try:
        store = s.Store(record)
        store.put("op", "config", {
            "version": 3,
            "routes": [{
                "name": "r-1", "host": "a.example", "prefix": "/ask/", "kind": "streaming", "timeout_ms": 6000,
                "goal_ms": 400, "priority": 1, "service": SERVICE, "max_attempts": 2, "anonymous": False,
                "sticky": True, "resumable": True, "gap_target_ms": 300, "home_regions": [],
            }],
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 434, "cold_start_s": 0.0,
                "cold_per_s": 0.0, "engine": {
                    "slots": SLOTS, "kv_capacity": 1640000, "kv_token_bytes": 163840, "stride": 6,
                    "models": [{"name": MODEL, "pace": 1.0, "load_time_s": 4.0, "warmup_s": 0.3}],
                    "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
                    "chunk": 2048, "layers": 16, "chunks": 48, "chunk_size_bytes": s.PIECE_BYTES,
                },
            }],
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
                body = f"question {number} {sent}".encode()
                extra = headers(f"{number:x}a", f"{number:x}{sent:04x}b")
                ident, status, _, whole = s.call(front, "a.example", "/ask/q", body, "key-a", 6000, extra=extra)
                counts[(status, whole)] = counts.get((status, whole), 0) + 1
                record.line(f"caller {number} sent {ident}: {status}{'' if whole else ', not whole'}")
                time.sleep(0.3)

        for number in range(6):
            threading.Thread(target=caller, args=(number,), daemon=True).start()
        turn = 0
        while time.monotonic() < begin + END_S:
            front = entries[turn % 2].listen["front"]
            ident, status, _, whole = s.call(front, "a.example", "/ask/q", DEADLY, "key-a", 6000,
                                             extra=headers("dead0a", "dead0b"))
            record.line(f"the deadly request was sent as {ident} to front-{turn % 2}: {status}, whole: {whole}")
            deadly[(status, whole)] = deadly.get((status, whole), 0) + 1
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
