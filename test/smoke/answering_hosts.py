"""Hosts that answer openings, and the callers' part of the flows on them."""

import heapq
import select
import socket
import struct
import threading
import time

KEY_BYTES = 8
FLAGS_OFFSET, LENGTH_OFFSET = 28, 30
SYN, ACK, FIN = 32, 1, 64
REQUEST = b"GET /"
SO_TIMESTAMPNS = 35
POLL_SECONDS = 0.002


def with_flags(packet, flags, data=b""):
    """Returns the header of the packet with other flags and data."""
    header = bytearray(packet[:LENGTH_OFFSET + 2])
    struct.pack_into(">B", header, FLAGS_OFFSET, flags)
    struct.pack_into(">H", header, LENGTH_OFFSET, len(data))
    return bytes(header) + data


class AnsweringHosts(threading.Thread):
    """Answers each opening that reaches one of the hosts.

    A host answers its caller directly, so an instance sees only what the caller sends next: a
    request at once and the end of the flow after hold_seconds, through the instance that placed
    the flow. Opening_times has the times at which openings reached each host, by the kernel.
    """

    def __init__(self, hosts, hold_seconds):
        super().__init__(daemon=True)
        self.hold_seconds = hold_seconds
        self.names = {host: name for name, host in hosts.items()}
        self.opening_times = {name: [] for name in hosts}
        self.callers = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.ends = []
        self.is_stopped = False
        for host in hosts.values():
            host.setblocking(False)
            host.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    def run(self):
        while not self.is_stopped:
            for host in select.select(list(self.names), [], [], POLL_SECONDS)[0]:
                self.receive(host)
            self.end_flows()

    def stop(self):
        self.is_stopped = True
        self.join()

    def receive(self, host):
        try:
            while True:
                data, ancillary, _, instance = host.recvmsg(2048, 64)
                if data[KEY_BYTES + FLAGS_OFFSET] == SYN:
                    seconds, nanoseconds = struct.unpack("qq", ancillary[0][2])
                    self.opening_times[self.names[host]].append(seconds + nanoseconds / 1e9)
                    self.answer(data[KEY_BYTES:], instance)
        except BlockingIOError:
            pass

    def answer(self, opening, instance):
        self.callers.sendto(with_flags(opening, ACK, REQUEST), instance)
        end = (time.time() + self.hold_seconds, with_flags(opening, ACK | FIN), instance)
        heapq.heappush(self.ends, end)

    def end_flows(self):
        while self.ends and self.ends[0][0] <= time.time():
            _, packet, instance = heapq.heappop(self.ends)
            self.callers.sendto(packet, instance)
