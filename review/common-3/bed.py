"""Stand-ins for a small deployment on loopback: the platform's store and routers, hosts and clients.

They speak what the users' PROTOCOL.md says. The instances are the real daemon, started with the
command of deploy/system.toml and with settings filled in from its template.
"""

import base64
import collections
import hashlib
import heapq
import http.client
import http.server
import itertools
import json
import os
import random
import re
import selectors
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
SYN, ACK, FIN, RST = 32, 1, 64, 16
HEAD = struct.Struct(">IIHH4s4sIIBBH")
RESET_WINDOW = 76_800
SYN_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
FIRST_RETRY_S, LAST_RETRY_S, HOST_RETRIES = 0.2, 1.6, 8
SUM_KEY = os.urandom(16)


class CannotRun(Exception):
    """The case can't be run on this machine."""


def keyed_sum(sport, dport, dst, src, seq, ack, flags, data):
    head = struct.pack(">HH4s4sIIBH", sport, dport, dst, src, seq, ack, flags & 0x7F, len(data))
    return hashlib.blake2b(head + data, key=SUM_KEY, digest_size=4).digest()


class Packet:
    """One packet; src and dst are addresses as four bytes."""

    __slots__ = ("echo", "sum", "sport", "dport", "dst", "src", "seq", "ack", "flags", "data")

    def __init__(self, echo, sport, dport, dst, src, seq, ack, flags, data=b"", total=None):
        self.echo, self.sport, self.dport, self.dst, self.src = echo, sport, dport, dst, src
        self.seq, self.ack, self.flags, self.data = seq, ack, flags, data
        self.sum = keyed_sum(sport, dport, dst, src, seq, ack, flags, data) \
            if total is None else total

    def encode(self):
        return HEAD.pack(self.echo, int.from_bytes(self.sum, "big"), self.sport, self.dport,
                         self.dst, self.src, self.seq, self.ack, self.flags, 0,
                         len(self.data)) + self.data

    @staticmethod
    def decode(raw):
        echo, total, sport, dport, dst, src, seq, ack, flags, _, size = HEAD.unpack_from(raw)
        return Packet(echo, sport, dport, dst, src, seq, ack, flags, raw[32:32 + size],
                      total.to_bytes(4, "big"))

    def is_genuine(self):
        return self.sum == keyed_sum(self.sport, self.dport, self.dst, self.src, self.seq,
                                     self.ack, self.flags, self.data)


class Loop:
    """A single-threaded loop of sockets and timers."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.order = itertools.count()

    def now(self):
        return time.monotonic()

    def at(self, when, call):
        heapq.heappush(self.timers, (when, next(self.order), call))

    def after(self, delay, call):
        self.at(self.now() + delay, call)

    def add_socket(self, address, receive):
        try:
            bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            bound.bind(address)
        except OSError as error:
            raise CannotRun(f"cannot bind {address}: {error}") from error
        bound.setblocking(False)
        self.selector.register(bound, selectors.EVENT_READ, receive)
        return bound

    def run_until(self, end):
        while self.now() < end:
            while self.timers and self.timers[0][0] <= self.now():
                heapq.heappop(self.timers)[2]()
            next_at = min(end, self.timers[0][0] if self.timers else end)
            for key, _ in self.selector.select(max(0, min(0.05, next_at - self.now()))):
                for _ in range(64):
                    try:
                        raw, source = key.fileobj.recvfrom(4096)
                    except (BlockingIOError, ConnectionError):
                        break
                    key.data(raw, source)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's store: reads, watches and what the operator and the hosts write."""

    value_bytes, history_s = 1_048_576, 20.0

    def __init__(self, address, record):
        self.record = record
        self.condition = threading.Condition()
        self.items = {}
        self.events = []
        self.history_from = 0
        self.revision = 100
        self.era = 1
        self.is_down = False
        self.calls = 0
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = 1 << 16

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                if store.is_down:
                    self.close_connection = True
                    return
                raw = body if isinstance(body, bytes) else json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(raw)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = {key: value[0] for key, value in
                         urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                store.calls += 1
                time.sleep(0.004)
                if store.is_down:
                    self.close_connection = True
                elif url.path == "/v1/kv-range":
                    self.answer(200, store.range(query))
                elif url.path == "/v1/kv-watch":
                    self.answer(*store.watch(query))
                elif url.path == "/v1/kv-key":
                    self.answer(*store.key(query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.answer(404, {})

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, *_):
                pass

        try:
            self.server = Server(address, Handler)
        except OSError as error:
            raise CannotRun(f"cannot bind {address}: {error}") from error
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, key, value):
        """Writes the value, or removes the key if it is None. Returns the revision."""
        with self.condition:
            self.revision += 1
            event = {"key": key, "revision": self.revision}
            if value is None:
                self.items.pop(key, None)
                event["deleted"] = True
            else:
                created = self.items[key]["createdAt"] if key in self.items else self.revision
                raw = value if isinstance(value, bytes) else json.dumps(value).encode()
                if len(raw) > self.value_bytes:
                    raise CannotRun("a value is longer than valueBytes")
                event |= {"value": base64.b64encode(raw).decode(), "createdAt": created,
                          "lease": 0}
                self.items[key] = event
            event_text = json.dumps(event).encode()
            self.events.append((self.revision, key, event_text, time.monotonic()))
            while self.events and self.events[0][3] < time.monotonic() - self.history_s:
                self.history_from = self.events.pop(0)[0]
            self.condition.notify_all()
            self.record.line(f"store revision {self.revision}: "
                             f"{'removes' if value is None else 'writes'} {key}")
            return self.revision

    def range(self, query):
        with self.condition:
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and
                          key > query.get("after", ""))
            return {"items": [self.items[key] for key in keys[:500]],
                    "hasMore": len(keys) > 500, "at": self.revision}

    def key(self, query):
        with self.condition:
            item = self.items.get(query.get("key", ""))
            return (404, {"at": self.revision}) if item is None else \
                (200, item | {"at": self.revision})

    def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        deadline = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        with self.condition:
            era = self.era
            while self.events and self.events[0][3] < time.monotonic() - self.history_s:
                self.history_from = self.events.pop(0)[0]
            while True:
                if self.era != era or after > self.revision or after < self.history_from:
                    return 410, {"at": self.revision}
                found = [text for revision, key, text, _ in self.events
                         if revision > after and key.startswith(prefix)]
                left = deadline - time.monotonic()
                if found or left <= 0 or self.is_down:
                    return 200, b'{"events": [%s], "at": %d}' % (b", ".join(found),
                                                                 self.revision)
                self.condition.wait(left)

    def copy(self):
        with self.condition:
            return dict(self.items), list(self.events), self.revision

    def restore(self, copied):
        """Comes back from an earlier copy; what was written since is gone."""
        with self.condition:
            items, events, self.revision = copied
            self.items, self.events = dict(items), list(events)
            self.history_from = self.revision
            self.era += 1
            self.condition.notify_all()


def render(text, fields):
    """Fills in a settings template as DEPLOY.md describes, as far as this project's needs it."""
    def look_up(name, entry):
        if name == ".":
            return entry if entry is not None else fields
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return value

    def fill(part, entry=None):
        def put(match):
            value = look_up(match[1], entry)
            return json.dumps(value) if match[2] else str(value)
        return re.sub(r"\{\{([\w.]+?)(\|json)?\}\}", put, part)

    def section(match):
        values = look_up(match[1], None)
        parts = []
        for index, value in enumerate(values):
            body = match[2].replace("{{,}}", "," if index + 1 < len(values) else "")
            parts.append(fill(body, value))
        return "".join(parts)

    return fill(re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S))


class Instance:
    """One machine with the daemon on it."""

    def __init__(self, bed, index, zone):
        self.bed, self.name, self.zone = bed, f"front-{zone}-{index}", zone
        self.ip = f"127.{bed.net}.1.{index}"
        self.process = None
        self.in_rotation = False
        self.disturbed_until = 0.0
        self.stopped = threading.Event()
        self.starts = 0

    def start(self):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        role = next(iter(deploy["roles"].values()))
        fields = {"nodeName": self.name, "zone": self.zone, "ip": self.ip,
                  "listen": {"datagramAddr": f"{self.ip}:{self.bed.data_port}",
                             "readyAddr": f"{self.ip}:8167", "control": f"{self.ip}:8166"},
                  "internalPortRange": [7720, 7735], "seeds": self.bed.seeds,
                  "platform": {"address": self.bed.store_address}}
        template = open(os.path.join(ROOT, role["template"]), encoding="utf-8").read()
        path = os.path.join(self.bed.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "ab")
        words = role["run"].split()
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise CannotRun(f"{words[0]} is not built")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "LANG": "C", "KUMQUATPATH_NODE_FILE": path})
        self.starts += 1
        self.bed.record.line(f"{self.name} starts")

    def probe(self):
        """Whether the ready address answers 200 in time."""
        try:
            connection = http.client.HTTPConnection(self.ip, 8167, timeout=0.45)
            connection.request("GET", "/v1/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def probe_forever(self):
        """The router's probes: twice a second, out after two misses, back after one answer."""
        misses = 2
        while not self.stopped.is_set():
            started = time.monotonic()
            misses = 0 if self.probe() else misses + 1
            was = self.in_rotation
            self.in_rotation = misses < 2 and (was or misses == 0)
            if was != self.in_rotation:
                self.bed.record.line(f"{self.name} is {'in' if self.in_rotation else 'out of'} "
                                     "rotation")
            self.stopped.wait(max(0.0, 0.5 - (time.monotonic() - started)))

    def freeze(self, seconds):
        self.bed.record.line(f"{self.name} freezes")
        self.disturbed_until = float("inf")
        self.process.send_signal(signal.SIGSTOP)
        self.bed.loop.after(seconds, self.wake)

    def wake(self):
        self.bed.record.line(f"{self.name} wakes")
        self.process.send_signal(signal.SIGCONT)
        self.disturbed_until = self.bed.loop.now() + self.bed.stable_window_s

    def stop(self, grace_s=6.0, restart_after_s=0.3):
        """SIGTERM, SIGKILL after the grace time, and a start shortly after the end."""
        self.bed.record.line(f"{self.name} gets SIGTERM")
        self.disturbed_until = float("inf")
        process = self.process
        process.send_signal(signal.SIGTERM)
        killed_at = self.bed.loop.now() + grace_s

        def look():
            if process.poll() is None:
                if self.bed.loop.now() >= killed_at:
                    process.kill()
                self.bed.loop.after(0.05, look)
                return
            self.bed.record.line(f"{self.name} has ended with {process.returncode}")
            self.bed.loop.after(restart_after_s, self.restart)
        look()

    def restart(self):
        self.start()
        self.disturbed_until = self.bed.loop.now() + self.bed.stable_window_s


class Host:
    """A server of one service, with its entry in the store."""

    def __init__(self, bed, number, service, zone, slots, work_ms, warm_up_left_ms=0):
        self.bed, self.service, self.zone, self.slots, self.work_ms = \
            bed, service, zone, slots, work_ms
        self.key = bed.random.getrandbits(40)
        self.id = f"i-{self.key:010x}"
        self.ip, self.port = f"127.{bed.net}.2.{number}", 8080
        self.socket = bed.loop.add_socket((self.ip, self.port), self.receive)
        self.born = int(time.time() * 1000)
        self.state, self.warm_up_left_ms = "ready", warm_up_left_ms
        self.half_open, self.flows, self.ended = {}, {}, collections.OrderedDict()
        self.busy, self.queue = 0, collections.deque()
        self.is_alive = True
        self.register()

    def register(self):
        self.bed.store.write(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "maxConcurrency": self.slots, "state": self.state,
            "warmupLeftMs": self.warm_up_left_ms, "sequence": 1, "born": self.born})

    def send(self, flow, flags, data=b"", seq=None, ack=None):
        name, echo = flow["name"], flow["echo"]
        packet = Packet(echo, name[3], name[1], socket.inet_aton(name[0]),
                        socket.inet_aton(name[2]), flow["next"] if seq is None else seq,
                        flow["expected"] if ack is None else ack, flags, data)
        if self.bed.is_lost():
            return
        self.socket.sendto(packet.encode(), (name[0], self.bed.data_port))

    def receive(self, raw, source):
        if not self.is_alive or len(raw) < 40:
            return
        wanted = int.from_bytes(raw[:8], "big")
        if wanted not in (0, self.key):
            return
        packet = Packet.decode(raw[8:])
        name = (socket.inet_ntoa(packet.src), packet.sport,
                socket.inet_ntoa(packet.dst), packet.dport)
        if not packet.is_genuine():
            self.bed.broken("UNASKED", f"{self.id} got a packet of {name} that nobody wrote")
            return
        self.bed.note_arrival(self, name, packet, source)
        if packet.flags & SYN:
            self.open(name, packet)
        elif name in self.flows:
            self.handle(self.flows[name], packet)
        elif name in self.half_open and packet.ack == (self.half_open[name]["isn"] + 1) % 2**32:
            flow = self.half_open.pop(name)
            self.flows[name] = flow
            self.bed.note_open(self, name)
            self.handle(flow, packet)
        elif name in self.ended and packet.flags & FIN and not packet.data:
            self.send(self.ended[name] | {"echo": packet.echo}, ACK)
        elif name in self.half_open and self.bed.half_open_is_silent:
            self.bed.record.line(f"{self.id} ignores a packet of {name}")
        elif not packet.flags & RST:
            # The host doesn't hold this flow: it is not the one whose seq is acknowledged.
            self.send({"name": name, "echo": packet.echo, "next": packet.ack, "expected": 0},
                      RST)
            self.bed.record.line(f"{self.id} does not hold {name} and resets it")

    def open(self, name, packet):
        if name in self.flows or self.state == "gone":
            return
        flow = self.half_open.get(name)
        if flow is None:
            isn = self.bed.random.getrandbits(32)
            flow = {"name": name, "isn": isn, "next": (isn + 1) % 2**32,
                    "expected": (packet.seq + 1) % 2**32, "echo": packet.echo, "acked": 0,
                    "unacked": [], "tries": 0}
            self.half_open[name] = flow
            self.bed.loop.after(FIRST_RETRY_S, lambda: self.repeat_opening(flow))
        flow["echo"] = packet.echo
        self.send(flow, SYN | ACK, seq=flow["isn"])

    def repeat_opening(self, flow):
        if self.half_open.get(flow["name"]) is not flow or not self.is_alive:
            return
        flow["tries"] += 1
        if flow["tries"] > HOST_RETRIES:
            del self.half_open[flow["name"]]
            return
        self.send(flow, SYN | ACK, seq=flow["isn"])
        self.bed.loop.after(min(LAST_RETRY_S, FIRST_RETRY_S * 2 ** flow["tries"]),
                            lambda: self.repeat_opening(flow))

    def handle(self, flow, packet):
        flow["echo"] = packet.echo
        if packet.flags & RST:
            self.end(flow)
            return
        flow["unacked"] = [each for each in flow["unacked"]
                           if (packet.ack - each[0]) % 2**32 < len(each[1]) or
                           (packet.ack - each[0]) % 2**32 > 2**31]
        if packet.data and packet.seq == flow["expected"]:
            flow["expected"] = (flow["expected"] + len(packet.data)) % 2**32
            self.accept(flow, packet.data)
        elif packet.data:
            self.send(flow, ACK)
        if packet.flags & FIN and (packet.seq + len(packet.data)) % 2**32 == flow["expected"]:
            flow["expected"] = (flow["expected"] + 1) % 2**32
            self.send(flow, FIN | ACK)
            self.end(flow)

    def end(self, flow):
        self.flows.pop(flow["name"], None)
        self.ended[flow["name"]] = flow
        if len(self.ended) > 5000:
            self.ended.popitem(last=False)

    def accept(self, flow, data):
        self.queue.append((flow, data))
        self.work()

    def work(self):
        while self.busy < self.slots and self.queue:
            flow, data = self.queue.popleft()
            self.busy += 1
            self.bed.note_run(self, flow["name"], data.decode())
            delay = self.bed.random.uniform(0.5, 1.5) * self.work_ms / 1000
            self.bed.loop.after(delay, lambda flow=flow, data=data: self.finish(flow, data))

    def finish(self, flow, data):
        self.busy -= 1
        if self.flows.get(flow["name"]) is flow:
            answer = b"200 " + data.split()[1].rstrip(b".") + b" " + self.id.encode() + b"."
            answer = answer.ljust(600, b".")
            flow["unacked"].append((flow["next"], answer))
            self.send(flow, ACK, answer)
            flow["next"] = (flow["next"] + len(answer)) % 2**32
            self.repeat_answer(flow, flow["unacked"][-1], 0)
        self.work()

    def repeat_answer(self, flow, part, tries):
        def again():
            if part not in flow["unacked"] or self.flows.get(flow["name"]) is not flow:
                return
            if tries < HOST_RETRIES:
                self.send(flow, ACK, part[1], seq=part[0])
                self.repeat_answer(flow, part, tries + 1)
        self.bed.loop.after(min(LAST_RETRY_S, FIRST_RETRY_S * 2 ** tries), again)


class Flow:
    """One flow of a client that sends several requests over it, with pauses."""

    def __init__(self, client, sport, requests, listener):
        self.client, self.bed, self.sport, self.left = client, client.bed, sport, requests
        self.name = (client.ip, sport, listener[0], listener[1])
        self.echo = 0
        self.isn = self.bed.random.getrandbits(32)
        self.next, self.expected = (self.isn + 1) % 2**32, 0
        self.state, self.request = "opening", None
        self.started = self.bed.loop.now()
        for count, delay in enumerate(SYN_TIMES_S):
            self.bed.loop.after(delay, lambda count=count: self.send_syn(count))
        self.bed.loop.after(OPENING_TIMEOUT_S, self.give_up_opening)

    def send(self, flags, data=b"", seq=None, ack=None):
        packet = Packet(self.echo, self.sport, self.name[3], socket.inet_aton(self.name[2]),
                        socket.inet_aton(self.name[0]), self.next if seq is None else seq,
                        self.expected if ack is None else ack, flags, data)
        instance = self.bed.route(self.name)
        if instance is None or self.bed.is_lost():
            return
        self.bed.note_sent(self, instance, packet)
        self.client.socket.sendto(packet.encode(), (instance.ip, self.bed.data_port))

    def send_syn(self, count):
        if self.state == "opening":
            self.echo = 0
            self.send(SYN, seq=self.isn, ack=count)

    def give_up_opening(self):
        if self.state == "opening":
            self.finish("never opened")

    def receive(self, packet, source):
        if packet.flags & RST:
            self.handle_reset(packet, source)
            return
        if not packet.is_genuine():
            self.bed.broken("MIXED", f"the client got a packet of {self.name} that nobody wrote")
            return
        # Each end places the last echo that it received on the flow in its own packets.
        self.echo = packet.echo
        if self.state == "opening" and packet.flags & SYN:
            self.state, self.host = "open", source
            self.expected = (packet.seq + 1) % 2**32
            self.send(ACK)
            self.start_request()
        elif self.state == "open" and packet.data and packet.seq == self.expected:
            self.expected = (self.expected + len(packet.data)) % 2**32
            self.send(ACK)
            self.handle_answer(packet.data.decode(), source)
        elif self.state == "open" and packet.data:
            self.send(ACK)

    def handle_reset(self, packet, source):
        distance = (packet.seq - self.expected) % 2**32
        is_in_window = min(distance, 2**32 - distance) <= RESET_WINDOW
        if self.state == "opening":
            self.finish("refused")
        elif self.state == "open" and is_in_window:
            self.bed.note_reset(self, source)
            self.finish("reset")

    def start_request(self):
        if self.state != "open":
            return
        self.request = f"{self.bed.random.getrandbits(64):016x}"
        self.request_data = f"GET {self.request}".ljust(120, ".").encode()
        self.bed.note_request(self)
        self.request_seq = self.next
        self.next = (self.next + len(self.request_data)) % 2**32
        self.request_started = self.bed.loop.now()
        self.send(ACK, self.request_data, seq=self.request_seq)
        self.repeat_request(self.request, 0)

    def repeat_request(self, request, tries):
        def again():
            if self.state != "open" or self.request != request:
                return
            if self.bed.loop.now() > self.request_started + self.bed.deadline_s:
                self.finish("deadline")
                return
            self.send(ACK, self.request_data, seq=self.request_seq)
            self.repeat_request(request, tries + 1)
        self.bed.loop.after(min(LAST_RETRY_S, FIRST_RETRY_S * 2 ** tries), again)

    def handle_answer(self, text, source):
        words = text.rstrip(".").split()
        if self.request is None or words[1] != self.request or source != self.host:
            self.bed.broken("MIXED", f"{self.name} waited for {self.request} and got {words[1]}")
        self.bed.note_answer(self)
        self.request = None
        self.left -= 1
        if self.left == 0:
            self.finish("done")
            return
        self.bed.loop.after(self.bed.pause(), self.start_request)

    def finish(self, how):
        if self.state == "open" and how in ("done", "deadline"):
            self.send(FIN | ACK)
        self.state = "closed"
        self.bed.note_end(self, how)
        del self.client.flows[self.sport]


class Client:
    """A client's address, which opens flows from one port after the other."""

    def __init__(self, bed, number):
        self.bed, self.ip = bed, f"127.{bed.net}.3.{number}"
        self.socket = bed.loop.add_socket((self.ip, bed.data_port), self.receive)
        self.next_port, self.flows = 1024, {}

    def open_flow(self, listener=None, requests=None):
        self.next_port = self.next_port + 1 if self.next_port < 65_000 else 1025
        self.flows[self.next_port] = Flow(self, self.next_port,
                                          requests or self.bed.requests_per_flow,
                                          listener or self.bed.listener)

    def receive(self, raw, source):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet, source)


class Bed:
    """The deployment, its traffic and the judge of its rules."""

    stable_window_s = 5.0
    flow_window_s = 2.0
    data_port = 8172
    # With HALF_OPEN=silent, hosts ignore packets that acknowledge another host's seq instead of
    # resetting the flow; then part (b) of FLOW decides.
    half_open_is_silent = os.environ.get("HALF_OPEN") == "silent"

    def __init__(self, record_path, seed, *, instances=4, hosts=12, slots=2, work_ms=22.0,
                 flows_per_s=60.0, requests_per_flow=6, loss=0.0, pause_s=(0.4, 1.2),
                 deadline_s=2.5, zones=1):
        self.record = Record(record_path)
        self.random = random.Random(seed)
        self.loop = Loop()
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.net = self.free_net()
        self.listener = (f"127.{self.net}.9.1", 8443)
        self.loss, self.pause_range = loss, pause_s
        self.flows_per_s, self.requests_per_flow = flows_per_s, requests_per_flow
        self.deadline_s = deadline_s
        self.breaks, self.ends = [], collections.Counter()
        self.counts = collections.Counter()
        self.open_at, self.arrivals, self.via = {}, collections.defaultdict(list), {}
        self.runs = collections.Counter()
        self.syn_arrived = lambda host, name, source: None
        self.is_planned = False
        self.store_address = f"127.{self.net}.4.1:8169"
        self.store = Store((f"127.{self.net}.4.1", 8169), self.record)
        self.instances = [Instance(self, index + 1, f"zone-{'abc'[index % zones]}") for index in range(instances)]
        self.seeds = [f"{each.ip}:8166" for each in self.instances[:3]]
        self.hosts = [Host(self, index + 1, "ledger", "zone-a", slots, work_ms)
                      for index in range(hosts)]
        self.by_address = {(each.ip, each.port): each for each in self.hosts}
        self.clients = [Client(self, index + 1) for index in range(4)]

    def free_net(self):
        for net in random.SystemRandom().sample(range(20, 240), 40):
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                    probe.bind((f"127.{net}.4.1", 8169))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def write_configuration(self, version, extra_routes=()):
        self.store.write("op/config", self.configuration(version, extra_routes))

    def configuration(self, version, extra_routes=()):
        routes = [{"name": "r-main", "host": self.listener[0],
                   "prefix": f"/{self.listener[1]}/", "kind": "idempotent", "timeoutMs": 2500,
                   "latencyGoalMs": 500, "priority": 2, "service": "ledger", "attempts": 2}]
        return {"version": version, "routes": routes + list(extra_routes),
                "services": [{"name": "ledger", "healthPath": "/health", "maxConns": 2000}],
                "limits": {"idleTimeoutMs": 15000}}

    def start(self):
        self.write_configuration(7)
        for each in self.instances:
            each.start()
            threading.Thread(target=each.probe_forever, daemon=True).start()
        end = self.loop.now() + 10
        while self.loop.now() < end and not all(each.in_rotation for each in self.instances):
            self.loop.run_until(self.loop.now() + 0.1)
        if not all(each.in_rotation for each in self.instances):
            raise CannotRun("the instances did not become ready")
        self.open_flows()

    def open_flows(self):
        self.client_turn = getattr(self, "client_turn", 0) + 1
        self.clients[self.client_turn % len(self.clients)].open_flow()
        self.loop.after(self.random.expovariate(self.flows_per_s), self.open_flows)

    def run(self, seconds):
        self.loop.run_until(self.loop.now() + seconds)

    def peak_memory_mb(self):
        """The most memory that any running instance has held."""
        peaks = [0.0]
        for each in self.instances:
            try:
                with open(f"/proc/{each.process.pid}/status", encoding="utf-8") as status:
                    peaks += [int(line.split()[1]) / 1024 for line in status
                              if line.startswith("VmHWM")]
            except OSError:
                continue
        return max(peaks)

    def close(self):
        for each in self.instances:
            each.stopped.set()
            if each.process is not None and each.process.poll() is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        self.store.is_down = True
        self.store.server.shutdown()
        self.store.server.server_close()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    # What the stand-ins ask.

    def pause(self):
        return self.random.uniform(*self.pause_range)

    def is_lost(self):
        return self.random.random() < self.loss

    def route(self, name):
        """The platform's routers: a hash of addresses and ports over the nodes in rotation."""
        nodes = [each for each in self.instances if each.in_rotation]
        if 2 * len(nodes) < len(self.instances):
            nodes = self.instances
        digest = hashlib.blake2b(repr(name).encode(), digest_size=8).digest()
        return nodes[int.from_bytes(digest, "big") % len(nodes)]

    # What the stand-ins saw.

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.record.line(f"BROKEN {rule}: {text}")

    def note_sent(self, flow, instance, packet):
        self.via[flow.name] = instance
        if packet.flags & SYN:
            self.record.line(f"client {flow.name} sends SYN {packet.ack} to {instance.name}")

    def note_open(self, host, name):
        self.open_at[name] = (host, self.loop.now())
        self.record.line(f"flow {name} opens at {host.id}")

    def note_arrival(self, host, name, packet, source):
        if packet.flags & SYN:
            self.record.line(f"{host.id} gets SYN of {name} from {source[0]}")
            self.syn_arrived(host, name, source)
        owner = self.open_at.get(name)
        if owner is None:
            return
        seen = self.arrivals[name]
        seen.append((self.loop.now(), host is owner[0]))
        self.judge_moved(name, seen)

    def judge_moved(self, name, seen):
        """FLOW (b): for flowMs, three or more packets reach other hosts and none its own."""
        now = self.loop.now()
        foreign = [at for at, is_own in seen if not is_own]
        last_own = max((at for at, is_own in seen if is_own), default=self.open_at[name][1])
        late = [at for at in foreign if at > last_own]
        if len(late) >= 3 and now - last_own >= self.flow_window_s:
            self.broken("FLOW", f"(b) {len(late)} packets of {name} reached other hosts and none "
                        f"its own for {now - last_own:.1f} s")

    def note_request(self, flow):
        self.counts["requests"] += 1
        self.record.line(f"client {flow.name} sends {flow.request}")

    def note_run(self, host, name, text):
        request = text.split()[1].rstrip(".")
        self.runs[request] += 1
        self.record.line(f"{host.id} runs {request} of {name}")

    def note_answer(self, flow):
        self.counts["answers"] += 1
        self.record.line(f"client {flow.name} has the answer to {flow.request}")

    def note_reset(self, flow, source):
        owner = self.open_at.get(flow.name)
        sender = self.by_address.get(source)
        self.record.line(f"client {flow.name} gets a reset from {source}; request {flow.request}")
        if owner is None or sender is owner[0]:
            return
        instance = self.via[flow.name]
        is_in_touch = self.loop.now() >= instance.disturbed_until
        if not self.is_planned and not is_in_touch:
            self.counts["resets not judged"] += 1
            return
        who = sender.id if sender is not None else f"{source}, not a host"
        self.broken("FLOW", f"(a) {flow.name} is open at {owner[0].id}, which lives, and is reset "
                    f"by {who}; its packets go through {instance.name}; "
                    f"request {flow.request} stays without an answer")

    def note_end(self, flow, how):
        self.ends[how] += 1
        self.record.line(f"client {flow.name} ends: {how}")


def main(play, record_path, seed, **options):
    """Plays a case. Returns 1 if a rule was broken, 0 if none was, 2 if it couldn't run."""
    def end(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    bed = None
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        bed = Bed(record_path, seed, **options)
        bed.start()
        play(bed, trouble)
        rules = collections.Counter(rule for rule, _ in bed.breaks)
        summary = (f"trouble {'on' if trouble else 'off'}; requests {bed.counts['requests']}, "
                   f"answers {bed.counts['answers']}; flows {dict(bed.ends)}; "
                   f"broken {dict(rules)}; at most {bed.peak_memory_mb():.0f} MB an instance")
        bed.record.line(summary)
        print(summary)
        for rule, text in bed.breaks[:5]:
            print(f"  {rule}: {text}")
        if bed.counts["answers"] < 100:
            print("the deployment did not serve")
            return 2
        return 1 if bed.breaks else 0
    except CannotRun as error:
        print(f"cannot run: {error}")
        return 2
    finally:
        if bed is not None:
            bed.close()
