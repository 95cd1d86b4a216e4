#!/usr/bin/env python3
"""Sends packets in the platform's format through the instances to two hosts.

The test writes the entries of the hosts and the configuration into the store of the fake
platform. Beyond forwarding, it covers changes in the store, an outage of the store, a reload of
the settings, a graceful stop, signals during startup, and hosts that are all cold.
Usage: platform_path_test.py BUILD_DIRECTORY
"""

import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
from deployment import wait_until_signals_are_handled  # noqa: E402

BUILD = sys.argv[1]
STORE = "127.82.1.1:7000"
INSTANCES = {"entry-1": "127.82.1.4", "entry-2": "127.82.1.5"}
HOSTS = {"i-00ab": ("127.82.1.10", 9000), "i-00cd": ("127.82.1.11", 9000)}
CALLER = ("127.82.1.20", 7001)
SYN, ACK, FIN, RST = 32, 1, 64, 16
TIMEOUT_SECONDS = 10


def packet(flags, port, token=0, data=b"", listener_port=443, acknowledgement=0):
    """Returns a packet from the given port of the caller to 198.18.0.1."""
    return struct.pack(">IIHH4s4sIIBBH", token, 0xA1B2C3D5, port, listener_port,
                       socket.inet_aton("198.18.0.1"), socket.inet_aton(CALLER[0]), 7,
                       acknowledgement, flags, 0, len(data)) + data


def bind_socket(address):
    bound_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound_socket.bind(address)
    bound_socket.settimeout(0.3)
    return bound_socket


def datagrams_of(bound_socket):
    """Returns the datagrams that the socket has received."""
    bound_socket.setblocking(False)
    received = []
    try:
        while True:
            received.append(bound_socket.recv(2048))
    except BlockingIOError:
        return received


def write_store(writes, deletes=()):
    """Writes and deletes keys of the store in one transaction."""
    body = {"expected": [], "deletes": list(deletes),
            "writes": [{"key": key, "value": base64.b64encode(value.encode()).decode()}
                       for key, value in writes.items()]}
    request = urllib.request.Request(f"http://{STORE}/v1/kv-txn",
                                     data=json.dumps(body).encode(), method="POST")
    urllib.request.urlopen(request, timeout=2).read()


def is_ready(instance):
    try:
        with urllib.request.urlopen(f"http://{INSTANCES[instance]}:7002/ready", timeout=2):
            return True
    except (urllib.error.URLError, ConnectionError):
        return False


def wait_until(description, condition):
    deadline = time.time() + TIMEOUT_SECONDS
    while not condition():
        assert time.time() < deadline, f"timed out waiting until {description}"
        time.sleep(0.05)


def host_entry(name, state="ready", data_centre="north", warm_up_left_ms=0, born=5):
    """Returns the entry that a host writes into the store about itself."""
    address, port = HOSTS[name]
    return json.dumps({"service": "web", "address": f"{address}:{port}",
                       "zone": data_centre, "version": "v1", "maxConcurrency": 3, "state": state,
                       "warmupLeftMs": warm_up_left_ms, "sequence": 1, "born": born})


def configuration(version, port, services=(), latency_goal_ms=250):
    """Returns a configuration with one listener, on the given port of 198.18.0.1."""
    return json.dumps({"version": version, "services": list(services), "limits": {}, "routes": [
        {"name": "r", "host": "198.18.0.1", "prefix": f"/{port}/", "kind": "idempotent",
         "timeoutMs": 1000, "latencyGoalMs": latency_goal_ms, "priority": 1, "service": "web"}]})


class PlatformTestBed:
    """The processes under test, and the sockets of the caller and the hosts."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        self.hosts = {name: bind_socket(address) for name, address in HOSTS.items()}
        self.caller = bind_socket(CALLER)

    def start(self, name, *arguments):
        log = open(os.path.join(self.folder, f"{name}.log"), "a")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def start_instance(self, name, data_centre="north", seeds=None):
        """Starts an instance whose seeds are the instances named, by default all."""
        address = INSTANCES[name]
        path = os.path.join(self.folder, f"{name}.json")
        # The instance ignores the ports of its seeds.
        with open(path, "w") as file:
            json.dump({"name": name, "data_centre": data_centre, "data": f"{address}:7001",
                       "ready": f"{address}:7002", "ready_path": "/ready",
                       "metrics": f"{address}:7003", "peer": f"{address}:7004",
                       "peer_key": "5a" * 32, "state": STORE, "interface": "platform",
                       "seeds": [f"{INSTANCES[each]}:1" for each in seeds or INSTANCES]}, file)
        self.start(name, os.path.join(BUILD, "src/daemon/kumquatpathd"), path)

    def send(self, instance, data):
        self.caller.sendto(data, (INSTANCES[instance], 7001))

    def receive_from_hosts(self):
        """Returns the host that got a datagram, its target key, its token and its packet.

        Returns None if none has arrived after 1 s.
        """
        deadline = time.time() + 1
        while time.time() < deadline:
            for name, host in self.hosts.items():
                host.setblocking(False)
                try:
                    data = host.recv(2048)
                    target_key, token = struct.unpack(">QI", data[:12])
                    return name, target_key, token, data[8:]
                except BlockingIOError:
                    pass
            time.sleep(0.005)
        return None

    def received_by_caller(self):
        """Returns the number of datagrams that the caller has received since the last call."""
        return len(datagrams_of(self.caller))

    def open_flow(self, instance, port, listener_port=443):
        self.send(instance, packet(SYN, port, listener_port=listener_port))
        received = self.receive_from_hosts()
        assert received is not None, "no host received the opening packet"
        return received

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def check_forwarding(test_bed):
    name, target_key, token, data = test_bed.open_flow("entry-1", 1000)
    assert target_key == int(name[2:], 16), (name, target_key)
    assert data[4:] == packet(SYN, 1000)[4:], "forwarding changed more than the token"
    for instance in INSTANCES:
        test_bed.send(instance, packet(ACK, 1000, token, b"GET /"))
        received = test_bed.receive_from_hosts()
        assert received and received[0] == name and received[2] == token, received
    test_bed.send("entry-1", packet(ACK, 1001, token=77))
    assert test_bed.receive_from_hosts() is None, "a packet with an unknown token was forwarded"
    test_bed.send("entry-1", packet(SYN | ACK, 1002))
    test_bed.send("entry-1", packet(SYN, 1003, listener_port=444))
    assert test_bed.receive_from_hosts() is None, \
        "a SYN-ACK or a packet to an unknown listener was forwarded"
    return name, token


def check_warm_up(test_bed):
    """Hosts that are all cold get what the rate allows; the other callers are refused at once."""
    rate = 10
    services = [{"name": "web", "warmupS": 20, "warmupPerS": rate}]
    write_store({"op/config": configuration(2, 443, services),
                 **{f"servers/{name}": host_entry(name, warm_up_left_ms=20000, born=6)
                    for name in HOSTS}})
    time.sleep(1.5)
    while test_bed.receive_from_hosts() or test_bed.received_by_caller():
        pass
    arrivals = {name: [] for name in HOSTS}
    refusals = 0
    end = time.time() + 4
    for port in range(10000, 20000):
        if time.time() > end:
            break
        for instance in INSTANCES:
            test_bed.send(instance, packet(SYN, port))
        time.sleep(0.003)
        for name, host in test_bed.hosts.items():
            arrivals[name] += [time.time() for _ in datagrams_of(host)]
        refusals += test_bed.received_by_caller()
    for name, times in arrivals.items():
        most = max((sum(first <= each <= first + 1 for each in times) for first in times),
                   default=0)
        assert 0 < most <= 1.5 * rate + 5, f"{name} got {most} new flows within a second"
    assert refusals > 0, "no caller was refused while all hosts were cold"
    write_store({"op/config": configuration(3, 443),
                 **{f"servers/{name}": host_entry(name, born=7) for name in HOSTS}})
    time.sleep(1.5)


def check_refused_configuration(test_bed):
    """An unusable configuration is reported once by each instance that reads it."""
    write_store({"op/config": json.dumps({"version": 3, "routes": [5]})})

    def refusals(name):
        with open(os.path.join(test_bed.folder, f"{name}.log")) as log:
            return [json.loads(line) for line in log if '"configuration_refused"' in line]
    wait_until("an unusable configuration is reported", lambda: refusals("entry-1"))
    time.sleep(0.5)
    lines = refusals("entry-1")
    assert len(lines) == 1, lines
    assert lines[0]["revision"] > 0 and lines[0]["field"] == "routes", lines


def check_store_changes(test_bed, name, token):
    write_store({f"servers/{name}": host_entry(name, "draining"), "servers/i-zz": "x",
                 "servers/i-00ef": "not an entry"})
    other_host = next(host for host in HOSTS if host != name)
    wait_until("a draining host gets no new flow",
               lambda: all(test_bed.open_flow(instance, 2000 + i)[0] == other_host
                           for i in range(4) for instance in INSTANCES))
    write_store({"op/config": configuration(4, 8443)}, [f"servers/{name}"])
    wait_until("packets to the new listener reach a host",
               lambda: (test_bed.send("entry-2", packet(SYN, 3000, listener_port=8443)),
                        test_bed.receive_from_hosts())[1] is not None)
    test_bed.send("entry-2", packet(ACK, 1000, token, b"more"))
    received = test_bed.receive_from_hosts()
    assert received and received[0] == name, \
        "an open flow lost its host when the host's entry was deleted"


def check_evacuation(test_bed):
    write_store({f"servers/{name}": host_entry(name, data_centre=name) for name in HOSTS})

    def hosts_of_new_flows(first_port):
        return {test_bed.open_flow(instance, first_port + i, 8443)[0]
                for i in range(2) for instance in INSTANCES}
    evacuated, other = HOSTS
    wait_until("a host gets new flows", lambda: evacuated in hosts_of_new_flows(6000))
    write_store({f"op/evacuate/{evacuated}": "{}", "op/evacuate/": "{}"})
    wait_until("an evacuated data centre gets no new flow",
               lambda: hosts_of_new_flows(6100) == {other})
    write_store({}, [f"op/evacuate/{evacuated}"])
    wait_until("new flows return after the withdrawal",
               lambda: evacuated in hosts_of_new_flows(6200))


def check_store_outage(test_bed):
    test_bed.processes["platform"].kill()
    test_bed.processes["platform"].wait()
    test_bed.start_instance("entry-3")
    wait_until("a new instance is ready with the state of its peers", lambda: is_ready("entry-3"))
    test_bed.send("entry-3", packet(SYN, 4000, listener_port=8443))
    assert test_bed.receive_from_hosts() is not None, "the new instance did not forward a new flow"


def check_settings_reload(test_bed):
    path = os.path.join(test_bed.folder, "entry-1.json")
    with open(path) as file:
        settings = json.load(file)
    settings["seeds"] = settings["seeds"][:1]
    with open(path, "w") as file:
        json.dump(settings, file)
    log = os.path.join(test_bed.folder, "entry-1.log")
    wait_until("changed settings are reloaded without a signal",
               lambda: '"event":"reloaded","seeds":1' in open(log).read())


def check_graceful_stop(test_bed):
    test_bed.processes["entry-1"].send_signal(signal.SIGHUP)
    time.sleep(0.1)
    assert test_bed.processes["entry-1"].poll() is None, "SIGHUP ended the instance"
    stop_requested_at = time.time()
    test_bed.processes["entry-1"].send_signal(signal.SIGTERM)
    wait_until("a leaving instance is not ready", lambda: not is_ready("entry-1"))
    test_bed.send("entry-1", packet(SYN, 5000, listener_port=8443))
    assert test_bed.receive_from_hosts() is not None, \
        "a leaving instance did not forward a new flow"
    assert test_bed.processes["entry-1"].wait(timeout=6) == 0
    assert time.time() - stop_requested_at < 6


def check_signals_during_startup(test_bed):
    for delay in (0, 0.001, 0.003):
        test_bed.start_instance("entry-4")
        process = test_bed.processes["entry-4"]
        wait_until_signals_are_handled(process)
        time.sleep(delay)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        assert process.poll() is None, f"SIGHUP after {delay} s ended the instance"
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=6) == 0


def main():
    # entry-3 is a seed of the initial instances, although it starts only in the store outage.
    INSTANCES["entry-3"] = "127.82.1.6"
    initial_instances = ["entry-1", "entry-2"]
    with tempfile.TemporaryDirectory() as folder:
        test_bed = PlatformTestBed(folder)
        try:
            test_bed.start("platform", os.path.join(BUILD, "fakes/fake_platform"), "--listen",
                           STORE)
            time.sleep(0.2)
            for name in initial_instances:
                test_bed.start_instance(name)
            time.sleep(0.3)
            assert not is_ready("entry-1"), "an instance without a configuration is ready"
            write_store({"op/config": configuration(1, 443),
                         **{f"servers/{name}": host_entry(name) for name in HOSTS}})
            wait_until("both instances are ready", lambda: all(map(is_ready, initial_instances)))
            del INSTANCES["entry-3"]
            name, token = check_forwarding(test_bed)
            check_warm_up(test_bed)
            check_refused_configuration(test_bed)
            check_store_changes(test_bed, name, token)
            check_evacuation(test_bed)
            INSTANCES["entry-3"] = "127.82.1.6"
            check_store_outage(test_bed)
            check_settings_reload(test_bed)
            check_graceful_stop(test_bed)
            INSTANCES["entry-4"] = "127.82.1.7"
            check_signals_during_startup(test_bed)
        finally:
            test_bed.stop_all()
    print("every check passed")


if __name__ == "__main__":
    main()
