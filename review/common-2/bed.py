"""Stand-ins for the platform's store, router, hosts and clients, and the real daemons.

Everything but the daemons runs in one asyncio loop of this process. The stand-ins follow
PROTOCOL.md of the users' pages. Each end of a flow has at most 16 packets in flight,
acknowledges every second packet (or with its next own packet), retransmits after 200 ms,
doubled up to 1.6 s, and writes the echo that it received last into its packets.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, ACK, FIN, RST = 32, 1, 64, 16
DATA_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, STORE_PORT = 8172, 8167, 8166, 7720, 8169
HEADER = struct.Struct(">IIHH4s4sIIBBH")
MAX_DATA = 1200
WINDOW = 16
MASK = 0xFFFFFFFF
SUM_KEY = b"the key of the sum"
RESET_WINDOW = 76800
OPENING_COPIES = (0.2, 0.6)
OPENING_TIMEOUT = 1.4
HEARTBEAT = 1.2
QUEUE = 12  # requests that wait at a host for one of its slots


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def now():
    return time.monotonic()


class Packet:
    """A decoded packet."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", echo=0, checksum=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq, ack, data, echo
        self.sum = self.keyed_sum() if checksum is None else checksum

    def keyed_sum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags, self.seq, self.ack)
        return zlib.crc32(SUM_KEY + repr(fields).encode() + self.data) or 1

    def encode(self):
        return HEADER.pack(self.echo, self.sum, self.sport, self.dport,
                           socket.inet_aton(self.dst), socket.inet_aton(self.src), self.seq,
                           self.ack, self.flags, 0, len(self.data)) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEADER.size:
            return None
        echo, checksum, sport, dport, dst, src, seq, ack, flags, _, size = HEADER.unpack(
            raw[:HEADER.size])
        if size != len(raw) - HEADER.size:
            return None
        return Packet(socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, flags, seq,
                      ack, raw[HEADER.size:], echo, checksum)

    def is_genuine(self):
        return self.sum == self.keyed_sum()

    def is_reset_of_the_system(self):
        return self.flags == RST and not self.data and self.sum == 0


class Timers:
    """Timers that all end with their owner."""

    def __init__(self):
        self.handles = set()

    def later(self, delay, step):
        handle = None

        def run():
            self.handles.discard(handle)
            step()
        handle = asyncio.get_running_loop().call_later(delay, run)
        self.handles.add(handle)
        return handle

    def cancel_all(self):
        for each in self.handles:
            each.cancel()
        self.handles.clear()


class End:
    """The reliable byte stream of one end of an open flow."""

    def __init__(self, send, seq, peer_seq, on_data, on_failure, max_retries=None):
        self.send, self.seq, self.rcv_next = send, seq, peer_seq
        self.on_data, self.on_failure, self.max_retries = on_data, on_failure, max_retries
        self.queue, self.flight = [], []
        self.unacknowledged_received = 0
        self.early = {}
        self.timers = Timers()
        self.retry_delay, self.retries, self.timer = 0.2, 0, None
        self.peer_closed = False

    def write(self, data):
        for i in range(0, len(data), MAX_DATA):
            self.queue.append((ACK, data[i:i + MAX_DATA]))
        self.pump()

    def finish(self):
        self.queue.append((ACK | FIN, b""))
        self.pump()

    def pump(self):
        while self.queue and len(self.flight) < WINDOW:
            flags, data = self.queue.pop(0)
            self.flight.append((self.seq, flags, data))
            self.transmit(self.flight[-1])
            self.seq = (self.seq + len(data) + (1 if flags & FIN else 0)) & MASK
        if self.flight and self.timer is None:
            self.arm()

    def transmit(self, segment):
        self.unacknowledged_received = 0
        self.send(segment[1], segment[0], self.rcv_next, segment[2])

    def arm(self):
        self.timer = self.timers.later(self.retry_delay, self.retransmit)

    def retransmit(self):
        self.timer = None
        if not self.flight:
            return
        self.retries += 1
        if self.max_retries is not None and self.retries > self.max_retries:
            self.on_failure()
            return
        self.transmit(self.flight[0])
        self.retry_delay = min(1.6, 2 * self.retry_delay)
        self.arm()

    def receive(self, packet):
        if packet.flags & ACK:
            self.acknowledge(packet.ack)
        if packet.data or packet.flags & FIN:
            self.receive_data(packet)

    def acknowledge(self, ack):
        count = 0
        for start, flags, data in self.flight:
            end = (start + len(data) + (1 if flags & FIN else 0)) & MASK
            if (ack - end) & MASK < 1 << 31:
                count += 1
        if count:
            del self.flight[:count]
            self.retry_delay, self.retries = 0.2, 0
            if self.timer:
                self.timer.cancel()
                self.timer = None
            self.pump()

    def receive_data(self, packet):
        if packet.seq != self.rcv_next:
            if (packet.seq - self.rcv_next) & MASK < 1 << 31:
                self.early[packet.seq] = packet
            self.send_ack()
            return
        ready = [packet]
        while ready:
            each = ready.pop()
            self.rcv_next = (self.rcv_next + len(each.data)) & MASK
            if each.flags & FIN:
                self.rcv_next = (self.rcv_next + 1) & MASK
                self.peer_closed = True
            self.unacknowledged_received += 1
            if each.data:
                self.on_data(each.data)
            if self.rcv_next in self.early:
                ready.append(self.early.pop(self.rcv_next))
        if self.unacknowledged_received >= 2 or self.peer_closed:
            self.send_ack()

    def send_ack(self):
        self.unacknowledged_received = 0
        self.send(ACK, self.seq, self.rcv_next, b"")


class Store:
    """The platform's store: ranges, watches and conditions on HTTP/1.1."""

    def __init__(self, bed, address):
        self.bed, self.address = bed, address
        self.items, self.events, self.revision = {}, [], 100
        self.changed = asyncio.Condition()
        self.writers, self.silenced, self.used_at = set(), set(), {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, STORE_PORT)

    def put(self, key, value):
        """Writes an item and returns its revision: the acknowledgement."""
        self.revision += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["createdAt"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "createdAt": created, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.wake()
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.wake()

    def value_of(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()
        self.bed.spawn(notify())

    def silence_idle_connections(self, idle_time):
        """Connections without a call for idle_time carry nothing more, without a reset, as
        when something between the ends has lost track of them. New ones work."""
        idle = {each for each in self.writers if now() - self.used_at[each] >= idle_time}
        self.silenced |= idle
        return len(idle)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.used_at[writer] = now()
        try:
            while await self.serve_call(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if writer not in self.silenced:
                writer.close()

    async def serve_call(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
        match = re.search(rb"(?i)content-length: *(\d+)", head)
        if match:
            await reader.readexactly(int(match.group(1)))
        self.used_at[writer] = now()
        if writer in self.silenced:
            return True
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, body = await self.answer(method, path, values)
        self.used_at[writer] = now()
        if writer in self.silenced:
            return True
        text = json.dumps(body).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        return True

    async def answer(self, method, path, values):
        await asyncio.sleep(0.004)
        prefix = values.get("prefix", "")
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > values.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            after, wait = int(values["after"]), int(values["waitMs"]) / 1000
            end = now() + wait
            while True:
                events = [e for e in self.events
                          if e["revision"] > after and e["key"].startswith(prefix)]
                if events or now() >= end:
                    return 200, {"events": events, "at": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - now())
                    except asyncio.TimeoutError:
                        pass
        if path == "/v1/kv-key" and values.get("key") in self.items:
            return 200, {**self.items[values["key"]], "at": self.revision}
        return 404, {"error": "not found"}


class Instance:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, bed, name, zone, ip):
        self.bed, self.name, self.zone, self.ip = bed, name, zone, ip
        self.process = None

    def start(self):
        path = os.path.join(self.bed.folder, f"{self.name}.json")
        with open(path, "w") as file:
            file.write(self.bed.render_settings(self))
        log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            self.bed.command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "KUMQUATPATH_NODE_FILE": path})
        self.bed.note(f"start {self.name}")

    def signal(self, number):
        self.bed.note(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def ends(self):
        return self.process is not None and self.process.poll() is not None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READY_PORT), 0.4)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def log_events(self, event):
        with open(os.path.join(self.bed.folder, f"{self.name}.log")) as file:
            return [json.loads(line) for line in file if f'"event":"{event}"' in line]


class Router:
    """Hands the packets of clients to an instance of their zone, by a hash modulo those in
    rotation."""

    def __init__(self, bed):
        self.bed, self.misses, self.in_rotation = bed, {}, {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.fixed = None
        self.forwarded = 0

    async def probe(self):
        while True:
            started = now()
            instances = [each for each in self.bed.instances.values() if each.process]
            results = await asyncio.gather(*(each.is_ready() for each in instances))
            for each, ready in zip(instances, results):
                missed = 0 if ready else self.misses.get(each.name, 2) + 1
                self.misses[each.name] = missed
                was = self.in_rotation.get(each.name, False)
                self.in_rotation[each.name] = ready or (was and missed < 2)
                if was != self.in_rotation[each.name]:
                    self.bed.note(f"{each.name} {'enters' if ready else 'leaves'} the rotation")
            await asyncio.sleep(max(0.05, 0.5 - (now() - started)))

    def nodes_of(self, zone):
        zone_nodes = [each for each in self.bed.instances.values()
                      if each.zone == zone and each.process is not None]
        ready = [each for each in zone_nodes if self.in_rotation.get(each.name)]
        return ready if 2 * len(ready) >= len(zone_nodes) else zone_nodes

    def choose(self, client, packet):
        nodes = self.nodes_of(client.zone)
        if not nodes:
            return None
        key = f"{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}"
        return nodes[zlib.crc32(key.encode()) % len(nodes)]

    def route(self, client, packet):
        node = self.choose(client, packet)
        if node is not None:
            self.forwarded += 1
            try:
                self.socket.sendto(packet.encode(), (node.ip, DATA_PORT))
            except OSError:
                pass
        return node


class Host:
    """A host: slots, a queue, and the flows that it holds."""

    def __init__(self, bed, ident, service, zone, ip, port=9000, slots=3, work=0.05,
                 version="v1", retransmits_syn_ack=False):
        self.bed, self.ident, self.service, self.zone = bed, ident, service, zone
        self.ip, self.port, self.slots, self.work, self.version = ip, port, slots, work, version
        self.retransmits_syn_ack = retransmits_syn_ack
        self.key = int(ident.rsplit("-", 1)[1], 16)
        self.state, self.sequence, self.busy, self.waiting = "ready", 0, 0, []
        self.half_open, self.flows, self.ended, self.runs = {}, {}, set(), []
        self.born = int(time.time() * 1000)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, port))
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket, self.on_readable)
        self.is_serving = True
        bed.spawn(self.announce_regularly())

    @property
    def entry_key(self):
        return f"servers/{self.ident}"

    def entry(self):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": self.version, "maxConcurrency": self.slots, "state": self.state,
                "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born}

    def announce(self):
        """Writes the entry if more than its sequence has changed."""
        def without_sequence(entry):
            return {k: v for k, v in entry.items() if k != "sequence"}
        self.sequence += 1
        try:
            stored = json.loads(self.bed.store.value_of(self.entry_key) or b"null")
        except ValueError:
            stored = None
        if not isinstance(stored, dict) or without_sequence(stored) != without_sequence(
                self.entry()):
            return self.bed.store.put(self.entry_key, self.entry())
        return None

    async def announce_regularly(self):
        await asyncio.sleep(random.uniform(0, 0.1))
        while self.is_serving:
            self.announce()
            await asyncio.sleep(HEARTBEAT)

    def on_readable(self):
        while True:
            try:
                raw = self.socket.recv(2048)
            except (BlockingIOError, OSError):
                return
            key = struct.unpack(">Q", raw[:8])[0]
            packet = Packet.decode(raw[8:])
            if packet is None or not packet.is_genuine():
                self.bed.violation("UNASKED", f"{self.ident} got a packet that nobody wrote so")
                continue
            if key in (0, self.key):
                self.receive(packet)
            self.bed.packet_reached(self, packet)

    def to_client(self, packet, reply):
        self.bed.clients[packet.src].deliver_from(self, reply)

    def receive(self, packet):
        name = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags == SYN:
            self.open(name, packet)
            return
        flow = self.flows.get(name)
        if flow is None and name in self.half_open:
            half = self.half_open[name]
            if packet.flags & ACK and packet.ack == (half["seq"] + 1) & MASK:
                flow = self.accept(name, half, packet)
        if flow is None:
            if name in self.ended and not packet.data:
                return
            if not packet.flags & RST:
                self.bed.note(f"{self.ident} resets {name[0]}:{name[1]}: it does not hold that flow")
                self.to_client(packet, Packet(packet.dst, packet.dport, packet.src, packet.sport,
                                              RST, packet.ack, packet.seq, echo=packet.echo))
            return
        if packet.flags & RST:
            self.close(name)
            return
        flow["echo"] = packet.echo
        flow["end"].receive(packet)
        if flow["end"].peer_closed and not flow["closing"]:
            flow["closing"] = True
            flow["end"].finish()
        if flow["closing"] and not flow["end"].flight and not flow["end"].queue:
            self.close(name)

    def open(self, name, packet):
        flow = self.flows.get(name)
        if flow is not None:
            return
        half = self.half_open.setdefault(name, {"seq": random.getrandbits(32), "tries": 0})
        half["peer"], half["echo"] = packet.seq, packet.echo
        half["arrived"] = now()
        self.answer_opening(name, half, packet)

    def answer_opening(self, name, half, packet):
        if self.half_open.get(name) is not half:
            return
        self.to_client(packet, Packet(packet.dst, packet.dport, packet.src, packet.sport,
                                      SYN | ACK, half["seq"], (packet.seq + 1) & MASK,
                                      echo=half["echo"]))
        if self.retransmits_syn_ack and half["tries"] < 8:
            delay = min(1.6, 0.2 * 2 ** half["tries"])
            half["tries"] += 1
            asyncio.get_running_loop().call_later(delay, self.answer_opening, name, half, packet)

    def accept(self, name, half, packet):
        del self.half_open[name]
        flow = {"echo": packet.echo, "closing": False, "buffer": b"", "opened": now()}

        def send(flags, seq, ack, data):
            self.to_client(packet, Packet(packet.dst, packet.dport, packet.src, packet.sport,
                                          flags, seq, ack, data, flow["echo"]))
        flow["end"] = End(send, (half["seq"] + 1) & MASK, (half["peer"] + 1) & MASK,
                          lambda data: self.on_data(name, flow, data),
                          lambda: self.close(name), max_retries=8)
        self.flows[name] = flow
        self.bed.flow_opened(self, name, half["arrived"])
        return flow

    def close(self, name):
        flow = self.flows.pop(name, None)
        if flow:
            flow["end"].timers.cancel_all()
            self.ended.add(name)
            self.bed.flow_ended(self, name)

    def on_data(self, name, flow, data):
        flow["buffer"] += data
        while b"\r\n\r\n" in flow["buffer"]:
            head, rest = flow["buffer"].split(b"\r\n\r\n", 1)
            length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
            if len(rest) < length:
                return
            flow["buffer"] = rest[length:]
            if len(self.waiting) >= QUEUE:
                flow["end"].write(b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                                  b"Content-Length: 0\r\n\r\n")
                continue
            self.waiting.append((name, flow, head))
        self.start_work()

    def start_work(self):
        while self.waiting and self.busy < self.slots:
            name, flow, head = self.waiting.pop(0)
            self.busy += 1
            attempt = re.search(rb"Attempt-Id: (\S+)", head).group(1).decode()
            self.runs.append((attempt, self.service))
            self.bed.ran(self, attempt)
            size = int(re.search(rb"Want: (\d+)", head).group(1))
            work = self.work() if callable(self.work) else self.work
            asyncio.get_running_loop().call_later(work, self.finish_work, name, flow, attempt,
                                                  size)

    def finish_work(self, name, flow, attempt, size):
        self.busy -= 1
        if self.flows.get(name) is flow:
            body = (attempt.encode() + b" ") * (size // (len(attempt) + 1) + 1)
            flow["end"].write(f"HTTP/1.1 200 OK\r\nServer-Signature: {self.ident}\r\n"
                              f"Content-Length: {size}\r\n\r\n".encode() + body[:size])
        self.start_work()

    def crash(self):
        self.is_serving = False
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        for name in list(self.flows):
            self.close(name)


class Client:
    """A client machine: its address and the flows on it."""

    def __init__(self, bed, ip, zone):
        self.bed, self.ip, self.zone = bed, ip, zone
        self.flows, self.next_port = {}, 40000
        self.loss_from = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, DATA_PORT))
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket, self.on_readable)

    def deliver_from(self, host, packet):
        """Takes a packet that a host sent, over the link between them."""
        if self.loss_from is not None and self.loss_from(host, packet):
            return
        host.bed.loop.call_later(0.001, self.receive, packet, host)

    def on_readable(self):
        while True:
            try:
                raw = self.socket.recv(2048)
            except BlockingIOError:
                return
            packet = Packet.decode(raw)
            if packet is not None:
                self.receive(packet, None)

    def receive(self, packet, host):
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet, host)

    def open(self, listener, **options):
        port = self.next_port
        self.next_port += 1
        flow = Flow(self, port, listener, **options)
        self.flows[port] = flow
        flow.start()
        return flow


class Flow:
    """A client's flow: opened once, with some requests and pauses, then closed."""

    def __init__(self, client, port, listener, requests=1, pause=0.0, size=1000, body=0,
                 deadline=10.0, label=""):
        self.client, self.bed, self.port, self.listener = client, client.bed, port, listener
        self.requests, self.pause, self.size, self.body = requests, pause, size, body
        self.deadline, self.label = deadline, label
        self.isn = random.getrandbits(32)
        self.state, self.echo, self.end, self.last_ack = "opening", 0, None, 0
        self.answered, self.buffer, self.timers = 0, b"", Timers()
        self.started = now()
        self.request_started = None
        self.host_ident, self.outcome, self.opening_arrived = None, None, None
        self.via = []

    @property
    def name(self):
        return (self.client.ip, self.port, self.listener[0], self.listener[1])

    def start(self):
        self.send_opening(0)
        for i, delay in enumerate(OPENING_COPIES):
            self.timers.later(delay, lambda i=i: self.send_opening(i + 1))
        self.timers.later(OPENING_TIMEOUT, self.give_up_opening)

    def send_opening(self, copy):
        if self.state == "opening":
            self.transmit(SYN, self.isn, copy, b"")

    def give_up_opening(self):
        if self.state == "opening":
            self.finish("not opened")

    def transmit(self, flags, seq, ack, data):
        if flags & ACK:
            self.last_ack = ack
        packet = Packet(self.client.ip, self.port, self.listener[0], self.listener[1], flags, seq,
                        ack, data, 0 if flags == SYN else self.echo)
        node = self.bed.router.route(self.client, packet)
        if node is not None and (not self.via or self.via[-1] != node.name):
            self.via.append(node.name)

    def receive(self, packet, host):
        if self.outcome is not None:
            return
        if packet.flags & RST:
            self.receive_reset(packet, host)
            return
        if not packet.is_genuine():
            self.bed.violation("MIXED", f"{self.name} got a packet that nobody wrote so")
            return
        self.echo = packet.echo
        if packet.flags == SYN | ACK:
            if self.state == "opening":
                self.establish(packet, host)
            return
        if self.state == "open":
            self.end.receive(packet)
            self.check_closed()

    def receive_reset(self, packet, host):
        if host is None and not packet.is_reset_of_the_system():
            return
        if self.state == "open" and host is None:
            distance = (packet.seq - self.last_ack) & MASK
            if min(distance, MASK + 1 - distance) > RESET_WINDOW:
                return
        if self.state == "open":
            self.bed.client_reset(self, host)
        self.finish("reset" if self.state == "open" else "refused")

    def establish(self, packet, host):
        self.state, self.host_ident = "open", host.ident
        self.end = End(self.transmit, (self.isn + 1) & MASK, (packet.seq + 1) & MASK,
                       self.on_data, lambda: self.finish("given up"))
        self.transmit(ACK, self.end.seq, self.end.rcv_next, b"")
        self.request()

    def request(self):
        if self.outcome is not None:
            return
        attempt = self.bed.new_attempt(self)
        self.request_started = now()
        self.current = attempt
        body = b"x" * self.body
        self.end.write(f"GET / HTTP/1.1\r\nAttempt-Id: {attempt}\r\nWant: {self.size}\r\n"
                       f"Content-Length: {self.body}\r\n\r\n".encode() + body)
        self.deadline_timer = self.timers.later(self.deadline, lambda: self.finish("late"))

    def on_data(self, data):
        self.buffer += data
        if b"\r\n\r\n" not in self.buffer:
            return
        head, rest = self.buffer.split(b"\r\n\r\n", 1)
        length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
        if len(rest) < length:
            return
        if b"Not-Executed" in head:
            self.finish("shed")
            return
        if not rest.startswith(self.current.encode()):
            self.bed.violation("MIXED", f"{self.name} got the answer of another request")
        self.buffer = b""
        self.answered += 1
        self.bed.answered(self.current)
        self.deadline_timer.cancel()
        if self.answered < self.requests:
            self.timers.later(self.pause, self.request)
        else:
            self.timers.later(0, self.end.finish)

    def check_closed(self):
        if self.end.peer_closed and self.answered >= self.requests:
            self.finish("complete")

    def finish(self, outcome):
        if self.outcome is None:
            self.outcome = outcome
            self.timers.cancel_all()
            if self.end:
                self.end.timers.cancel_all()
            if self.bed.notes_flows:
                self.bed.note(f"flow {self.port} {self.label} {outcome}, answered "
                              f"{self.answered}/{self.requests}, host {self.host_ident}, "
                              f"via {'>'.join(self.via)}")


class Bed:
    """One small deployment and the record of what was sent, answered and run."""

    def __init__(self, case_folder):
        self.case_folder = case_folder
        self.folder = tempfile.mkdtemp(prefix="kumquatpath-review-")
        self.record = open(os.path.join(case_folder, "record.txt"), "w")
        self.started = now()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tasks, self.instances, self.clients, self.hosts = set(), {}, {}, {}
        self.violations, self.attempts, self.open_flows = [], {}, {}
        self.notes_flows = True
        self.seen_elsewhere, self.answered_count, self.run_count = {}, 0, 0
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.command = [os.path.join(ROOT, self.role["run"].split()[0]),
                        *self.role["run"].split()[1:]]
        if not os.path.exists(self.command[0]):
            raise CannotRun(f"{self.role['run']} is not built")
        self.network = self.free_network()
        self.seeds = []

    def free_network(self):
        for _ in range(200):
            network = random.SystemRandom().randint(40, 250)
            try:
                for port in (DATA_PORT, PEER_PORT):
                    probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    probe.bind((f"127.{network}.1.1", port))
                    probe.close()
                for port in (STORE_PORT, READY_PORT, 9102):
                    probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.{network}.1.200", port))
                    probe.close()
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def ip(self, third, fourth):
        return f"127.{self.network}.{third}.{fourth}"

    def note(self, text):
        self.record.write(f"{now() - self.started:8.3f} {text}\n")

    def violation(self, rule, text):
        self.violations.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def render_settings(self, instance):
        """Fills in the template of the deploy file."""
        with open(os.path.join(ROOT, self.role["template"])) as file:
            text = file.read()
        seeds = ", ".join(json.dumps(each) for each in self.seeds)
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _: seeds, text)
        values = {"nodeName": instance.name, "zone": instance.zone, "ip": instance.ip,
                  "listen.datagramAddr": f"{instance.ip}:{DATA_PORT}",
                  "listen.readyAddr": f"{instance.ip}:{READY_PORT}",
                  "internalPortRange.0": str(PEER_PORT),
                  "platform.address": f"{self.store.address}:{STORE_PORT}"}

        def fill(match):
            name, _, form = match.group(1).partition("|")
            return json.dumps(values[name]) if form == "json" else values[name]
        return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)

    async def start(self, zones, instances):
        """Starts the store and the instances: {name: zone}."""
        self.loop = asyncio.get_running_loop()
        self.store = Store(self, self.ip(1, 200))
        await self.store.start()
        self.router = Router(self)
        for i, (name, zone) in enumerate(instances.items()):
            self.instances[name] = Instance(self, name, zone, self.ip(10 + zones.index(zone),
                                                                      1 + i))
        self.seeds = [f"{each.ip}:{CONTROL_PORT}" for each in list(self.instances.values())[:3]]

    def start_instances(self, names=None):
        for name in names or self.instances:
            self.instances[name].start()
        if not any(getattr(t, "is_probe", False) for t in self.tasks):
            self.spawn(self.router.probe()).is_probe = True

    async def wait_ready(self, names, limit=15):
        end = now() + limit
        while not all(self.router.in_rotation.get(each) for each in names):
            if now() > end:
                raise CannotRun("the instances did not become ready")
            await asyncio.sleep(0.05)

    def add_host(self, *arguments, **options):
        host = Host(self, *arguments, **options)
        self.hosts[host.ident] = host
        return host

    def add_client(self, ip, zone):
        self.clients[ip] = Client(self, ip, zone)
        return self.clients[ip]

    def configure(self, version, routes, services):
        """Writes the configuration and returns the time of its acknowledgement."""
        revision = self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": each, "healthPath": "/health", "maxConns": 2000}
                         for each in services],
            "limits": {"idleTimeoutMs": 15000}})
        self.note(f"configuration {version} acknowledged at revision {revision}")
        return now()

    # What the stand-ins saw.

    def new_attempt(self, flow):
        attempt = f"a{len(self.attempts)}"
        self.attempts[attempt] = {"flow": flow, "runs": []}
        return attempt

    def ran(self, host, attempt):
        self.run_count += 1
        if attempt not in self.attempts:
            self.violation("UNASKED", f"{host.ident} ran {attempt}, which no client sent")
            return
        self.attempts[attempt]["runs"].append(host.ident)

    def answered(self, attempt):
        self.answered_count += 1

    def flow_opened(self, host, name, opening_arrived):
        self.open_flows[name] = host
        flow = self.clients[name[0]].flows.get(name[1])
        if flow is not None:
            flow.opening_arrived = opening_arrived
        self.seen_elsewhere[name] = []

    def flow_ended(self, host, name):
        if self.open_flows.get(name) is host:
            del self.open_flows[name]

    def packet_reached(self, host, packet):
        """FLOW (b): three packets or more reach other hosts within flowMs and none its own."""
        name = (packet.src, packet.sport, packet.dst, packet.dport)
        own = self.open_flows.get(name)
        if own is None or packet.flags == SYN:
            return
        if own is host:
            self.seen_elsewhere[name] = []
            return
        seen = self.seen_elsewhere[name]
        seen.append(now())
        if len(seen) >= 3 and seen[-1] - seen[0] >= 2.0:
            self.violation("FLOW", f"(b) {name[0]}:{name[1]} is open at {own.ident}, and for "
                           f"{seen[-1] - seen[0]:.1f} s {len(seen)} packets reached "
                           f"{host.ident} and none its own host")
            self.seen_elsewhere[name] = []

    def client_reset(self, flow, host):
        """FLOW (a): a reset that the flow's host did not send, while that host lives."""
        own = self.open_flows.get(flow.name)
        if own is None or own is host:
            return
        sender = "the system" if host is None else host.ident
        self.violation("FLOW", f"(a) {flow.name[0]}:{flow.name[1]} {flow.label}, open at "
                       f"{own.ident} for {now() - own.flows[flow.name]['opened']:.2f} s, got a "
                       f"reset from {sender}; answered {flow.answered}/{flow.requests}; via "
                       f"{'>'.join(flow.via)}")

    async def close(self):
        for each in self.instances.values():
            if each.process is not None:
                if each.process.poll() is None:
                    each.process.send_signal(signal.SIGCONT)
                    each.process.kill()
                each.process.wait()
        for task in list(self.tasks):
            task.cancel()
        if hasattr(self, "store") and self.store.server is not None:
            self.store.server.close()
            for writer in self.store.writers | self.store.silenced:
                writer.transport.abort()
        await asyncio.sleep(0.05)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, scenario, limit=110):
    """Runs the scenario, writes record.txt and exits with 0, 1 or 2."""
    async def whole():
        bed = Bed(case_folder)
        bed.note(f"trouble: {'on' if bed.trouble else 'off'}")
        try:
            await asyncio.wait_for(scenario(bed), limit)
            dead = [i.name for i in bed.instances.values()
                    if i.ends() and i.process.returncode not in (-signal.SIGKILL, 0)]
            if dead:
                bed.violation("FAULT", f"{', '.join(dead)} ended by themselves")
        finally:
            await bed.close()
            bed.note(f"requests sent {len(bed.attempts)}, run {bed.run_count}, answered "
                     f"{bed.answered_count}; rules broken: {len(bed.violations)}")
            bed.record.close()
        return bed.violations
    try:
        violations = asyncio.run(whole())
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        print(f"could not run: {failure!r}")
        sys.exit(2)
    for rule, text in violations[:5]:
        print(f"{rule}: {text}")
    print(f"{len(violations)} breaks of rules")
    sys.exit(1 if violations else 0)
