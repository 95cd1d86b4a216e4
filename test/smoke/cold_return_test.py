#!/usr/bin/env python3
"""Targets that come back cold get their stated rate from the whole fleet, in touch and cut.

The targets of the data centre south are evacuated, restart and are taken back together, while
the callers of every instance open more flows than the targets can bear. At first, the seeds of
the instances leave out the other data centre, so the two halves of the fleet know nothing of
each other and share only the store. In the middle of the warm-up, reloaded seeds join them.
Usage: cold_return_test.py BUILD_DIRECTORY
"""

import json
import os
import sys
import tempfile
import threading
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_path_test as platform  # noqa: E402
from answering_hosts import AnsweringHosts  # noqa: E402

platform.STORE = "127.84.1.1:7000"
platform.CALLER = ("127.84.1.20", 7001)
HALVES = {"north": ["entry-1", "entry-2", "entry-3"], "south": ["entry-4", "entry-5", "entry-6"]}
platform.INSTANCES = {name: f"127.84.1.3{name[-1]}" for half in HALVES.values() for name in half}
WARM_HOSTS, COLD_HOSTS = ["i-00a1", "i-00a2"], ["i-00b1", "i-00b2"]
platform.HOSTS = {name: (f"127.84.1.1{i}", 9000) for i, name in
                  enumerate(WARM_HOSTS + COLD_HOSTS)}

RATE = 10  # new flows a second for each cold target
MOST_WITHIN_A_SECOND = 1.5 * RATE + 5
# What a fleet that knows itself uses of the rate (docs/design/warm-up.md). Two halves that do not
# know each other use as much each.
LEAST_USE, MOST_USE = RATE / 6, RATE / 2
WARM_UP_SECONDS = 20
CUT_SECONDS = 10
# The windows of the instances begin within an interval: six instances at a fifth of the rate.
FIRST_WINDOWS_SECONDS = 3
# An instance that has just started uses no limited target for 5 s.
DISCOVERY_SECONDS = 6
# The time within which an evacuation has to be in force.
DRAIN_SECONDS = 3
# After the warm-up, the share of the targets grows for a quarter of it.
RAMP_SECONDS = WARM_UP_SECONDS / 4 + 2
SHARE_SECONDS = 4
# The least that a target bears after the warm-up, as a part of an equal share.
LEAST_SHARE = 0.5
HOLD_SECONDS = 0.2
# Far above the time of a flow, so only the room on the hosts limits the flows.
LATENCY_GOAL_MS = 1000
# An instance may have 6 flows on each of the 4 hosts, so at most 120 a second: fewer than this.
OPENINGS_PER_SECOND = 200
FIRST_PORT, LAST_PORT = 1024, 65535


class Callers(threading.Thread):
    """Sends openings to every instance until it is stopped."""

    def __init__(self, test_bed):
        super().__init__(daemon=True)
        self.test_bed = test_bed
        self.refused = 0
        self.is_stopped = False

    def run(self):
        port = FIRST_PORT
        next_at = time.time()
        while not self.is_stopped:
            next_at = max(next_at + 1 / OPENINGS_PER_SECOND, time.time() - 0.1)
            time.sleep(max(0, next_at - time.time()))
            for instance in platform.INSTANCES:
                self.test_bed.send(instance, platform.packet(platform.SYN, port))
                port = port + 1 if port < LAST_PORT else FIRST_PORT
            self.refused += self.test_bed.received_by_caller()

    def stop(self):
        self.is_stopped = True
        self.join()


def peers_of(instance):
    address = f"http://{platform.INSTANCES[instance]}:7003/v1/status"
    with urllib.request.urlopen(address, timeout=2) as response:
        return len(json.load(response)["peers"])


def host_entries(names, data_centre, **fields):
    return {f"servers/{name}": platform.host_entry(name, data_centre=data_centre, **fields)
            for name in names}


def start_halves(test_bed):
    services = [{"name": "web", "warmupS": WARM_UP_SECONDS, "warmupPerS": RATE}]
    platform.write_store({"op/config": platform.configuration(1, 443, services, LATENCY_GOAL_MS),
                          **host_entries(WARM_HOSTS, "north"),
                          **host_entries(COLD_HOSTS, "south")})
    for data_centre, half in HALVES.items():
        for name in half:
            test_bed.start_instance(name, data_centre, seeds=half)
    platform.wait_until("every instance is ready",
                        lambda: all(map(platform.is_ready, platform.INSTANCES)))


def join_halves(test_bed):
    for name in platform.INSTANCES:
        path = os.path.join(test_bed.folder, f"{name}.json")
        with open(path) as file:
            settings = json.load(file)
        settings["seeds"] = [f"{ip}:1" for ip in platform.INSTANCES.values()]
        with open(path, "w") as file:
            json.dump(settings, file)
    others = len(platform.INSTANCES) - 1
    platform.wait_until("every instance knows all others",
                        lambda: all(peers_of(name) == others for name in platform.INSTANCES))


def count_between(times, begin, end):
    return sum(begin <= each < end for each in times)


def check_evacuation(hosts):
    platform.write_store({"op/evacuate/south": "{}"})
    time.sleep(DRAIN_SECONDS)
    begin = time.time()
    time.sleep(DISCOVERY_SECONDS - DRAIN_SECONDS)
    for name in COLD_HOSTS:
        flows = count_between(hosts.opening_times[name], begin, time.time())
        assert flows == 0, f"{name} got {flows} new flows while it was evacuated"


def check_use(hosts, description, parts, begin, end):
    """Checks the use of the rate by a fleet in this many parts."""
    for name in COLD_HOSTS:
        flows = count_between(hosts.opening_times[name], begin, end)
        print(f"{description}: {name} got {flows} new flows in {end - begin:.1f} s")
        assert LEAST_USE <= flows / parts / (end - begin) <= MOST_USE, \
            f"{description}: {name} got {flows} new flows in {end - begin:.1f} s"


def check_limit(hosts, begin, end):
    for name in COLD_HOSTS:
        times = sorted(each for each in hosts.opening_times[name] if begin <= each < end)
        most = max(count_between(times, first, first + 1) for first in times)
        print(f"{name} got at most {most} new flows within a second")
        assert most <= MOST_WITHIN_A_SECOND, f"{name} got {most} new flows within a second"


def check_shares(hosts):
    begin = time.time()
    time.sleep(SHARE_SECONDS)
    flows = {name: count_between(times, begin, begin + SHARE_SECONDS)
             for name, times in hosts.opening_times.items()}
    print(f"new flows after the warm-up: {flows}")
    equal_share = sum(flows.values()) / len(flows)
    for name in COLD_HOSTS:
        assert flows[name] >= LEAST_SHARE * equal_share, \
            f"{name} got {flows[name]} new flows of an equal share of {equal_share}"


def check_cold_return(test_bed, hosts, callers):
    check_evacuation(hosts)
    assert all(peers_of(name) == 2 for name in platform.INSTANCES), "the halves are not cut"
    returned_at = time.time()
    platform.write_store(host_entries(COLD_HOSTS, "south", born=6,
                                      warm_up_left_ms=WARM_UP_SECONDS * 1000),
                         ["op/evacuate/south"])
    time.sleep(CUT_SECONDS)
    assert all(peers_of(name) == 2 for name in platform.INSTANCES), "the halves are not cut"
    cut_until = time.time()
    join_halves(test_bed)
    joined_at = time.time()
    warm_at = returned_at + WARM_UP_SECONDS
    time.sleep(warm_at - time.time())
    check_limit(hosts, returned_at, warm_at)
    check_use(hosts, "cut", 2, returned_at + FIRST_WINDOWS_SECONDS, cut_until)
    check_use(hosts, "in touch", 1, joined_at, warm_at)
    assert callers.refused > 0, "the callers opened fewer flows than the targets could bear"
    time.sleep(RAMP_SECONDS)
    check_shares(hosts)


def main():
    with tempfile.TemporaryDirectory() as folder:
        test_bed = platform.PlatformTestBed(folder)
        hosts = AnsweringHosts(test_bed.hosts, HOLD_SECONDS)
        callers = Callers(test_bed)
        try:
            test_bed.start("platform", os.path.join(platform.BUILD, "fakes/fake_platform"),
                           "--listen", platform.STORE)
            time.sleep(0.2)
            start_halves(test_bed)
            hosts.start()
            callers.start()
            check_cold_return(test_bed, hosts, callers)
        finally:
            callers.is_stopped = True
            hosts.is_stopped = True
            test_bed.stop_all()
    print("every check passed")


if __name__ == "__main__":
    main()
