#!/usr/bin/env python3
"""Brings the store back from an older copy while two instances serve.

Checks that the instances lose nothing that was in force, follow what is written afterwards
although its revisions are lower than those they knew, and that an instance that starts then does
the same.
Usage: store_return_test.py BUILD_DIRECTORY
"""

import json
import os
import tempfile
import time
import urllib.request

import platform_path_test as bed

# A change is to be in force everywhere after this time.
APPLY_SECONDS = 3
FIRST_PORT, ADDED_PORT = 443, 8443


def call_store(path):
    urllib.request.urlopen(urllib.request.Request(f"http://{bed.STORE}{path}", data=b"",
                                                  method="POST"), timeout=2).read()


def status(instance):
    with urllib.request.urlopen(f"http://{bed.INSTANCES[instance]}:7003/v1/status",
                                timeout=2) as page:
        return json.load(page)


def entry(name, state, sequence):
    return json.dumps({**json.loads(bed.host_entry(name, state)), "sequence": sequence})


def hosts_of_new_flows(test_bed, instances, first_port, listener_port):
    """Returns the hosts that get eight new flows; None stands for a flow that gets none."""
    hosts = set()
    for i in range(8):
        instance = instances[i % len(instances)]
        test_bed.send(instance, bed.packet(bed.SYN, first_port + i, listener_port=listener_port))
        received = test_bed.receive_from_hosts()
        hosts.add(received and received[0])
    return hosts


def wait_for(description, condition):
    deadline = time.time() + APPLY_SECONDS
    while not condition():
        assert time.time() < deadline, f"not within {APPLY_SECONDS} s: {description}"
        time.sleep(0.02)


def check_return(test_bed, instances):
    draining, serving = bed.HOSTS
    call_store("/fake/copy")
    # What the copy lacks.
    for version in range(2, 8):
        bed.write_store({"op/config": bed.configuration(version, FIRST_PORT)})
    bed.write_store({f"servers/{draining}": entry(draining, "draining", 9)})
    wait_for("the last changes before the return", lambda: all(
        status(each)["generation"] == 7 for each in instances) and
        hosts_of_new_flows(test_bed, instances, 2000, FIRST_PORT) == {serving})
    call_store("/fake/return")
    wait_for("the new era", lambda: all(status(each)["era"] == 2 for each in instances))
    assert all(status(each)["generation"] == 7 for each in instances), \
        "the copy's older configuration is in force"
    assert all(status(each)["configuration_ahead_of_store"] for each in instances)
    assert hosts_of_new_flows(test_bed, instances, 3000, FIRST_PORT) == {serving}, \
        "a draining host gets new flows by its entry in the copy"


def check_changes_after_return(test_bed, instances):
    draining, serving = bed.HOSTS
    bed.write_store({f"servers/{draining}": entry(draining, "draining", 9),
                     "op/config": bed.configuration(8, ADDED_PORT)})
    wait_for("the first change after the return",
             lambda: all(status(each)["generation"] == 8 for each in instances))
    assert hosts_of_new_flows(test_bed, instances, 4000, ADDED_PORT) == {serving}
    test_bed.send(instances[0], bed.packet(bed.SYN, 4100, listener_port=FIRST_PORT))
    assert test_bed.receive_from_hosts() is None, "a dropped listener is still served"
    test_bed.start_instance("entry-3")
    bed.wait_until("an instance that starts after the return is ready",
                   lambda: bed.is_ready("entry-3"))
    assert status("entry-3")["era"] == 2 and status("entry-3")["generation"] == 8
    bed.write_store({f"servers/{serving}": entry(serving, "draining", 4)}, [f"servers/{draining}"])
    wait_for("no target takes new flows", lambda: all(
        status(each)["targets"] == 0 for each in [*instances, "entry-3"]))


def main():
    bed.INSTANCES["entry-3"] = "127.82.1.6"
    instances = ["entry-1", "entry-2"]
    with tempfile.TemporaryDirectory() as folder:
        test_bed = bed.PlatformTestBed(folder)
        try:
            test_bed.start("platform", os.path.join(bed.BUILD, "fakes/fake_platform"), "--listen",
                           bed.STORE)
            time.sleep(0.2)
            for name in instances:
                test_bed.start_instance(name)
            bed.write_store({"op/config": bed.configuration(1, FIRST_PORT),
                             **{f"servers/{name}": entry(name, "ready", 1)
                                for name in bed.HOSTS}})
            bed.wait_until("both instances are ready",
                           lambda: all(map(bed.is_ready, instances)))
            check_return(test_bed, instances)
            check_changes_after_return(test_bed, instances)
        finally:
            test_bed.stop_all()
    print("every check passed")


if __name__ == "__main__":
    main()
