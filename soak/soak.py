#!/usr/bin/env python3
"""Runs a deployment of real processes under random faults and checks its invariants.

Several threads inject faults at the same time. Instances are stopped, killed, restarted and
paused, and told to reload their settings. A loopback proxy delays, resets or drops the traffic
between an instance and the store, in one direction or both. The store fails or compacts its
history, targets are paused, and the configuration changes throughout. The invariants are checked
with the reports of callers and targets and with the status of the instances. The run ends only
processes that it has started.
"""

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from deployment import (DATA_PORT, METRICS_PORT, READY_PORT, Deployment,  # noqa: E402
                        find_violations, request_json, wait_until_signals_are_handled)

# Time after the faults within which every instance must have the newest configuration in force.
MAX_PROPAGATION_SECONDS = 6
# Time within which new flows must stop arriving at a drained target if there are no faults.
DRAIN_PROPAGATION_SECONDS = 3
# Time added because faults of the store and of instances can delay a drain.
FAULT_MARGIN_SECONDS = 8
FAILED_CHECKS_TO_LEAVE_ROTATION = 2


class StoreProxy(threading.Thread):
    """Forwards the TCP connections of one instance to the store, with the fault set as mode.

    The modes: pass (no fault), delay, reset (closes connections when data arrives), drop (drops
    all data) and drop-responses (drops only data from the store).
    """

    def __init__(self, address, store):
        super().__init__(daemon=True)
        self.store = store
        self.mode = "pass"
        self.delay = 0.0
        self.listener = socket.create_server(address)

    def run(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.connect_to_store, args=(client,), daemon=True).start()

    def connect_to_store(self, client):
        try:
            server = socket.create_connection(self.store, timeout=2)
        except OSError:
            client.close()
            return
        for source, destination, is_response in ((client, server, False),
                                                 (server, client, True)):
            threading.Thread(target=self.forward, args=(source, destination, is_response),
                             daemon=True).start()

    def forward(self, source, destination, is_response):
        try:
            while data := source.recv(65536):
                if self.mode == "reset":
                    break
                if self.mode == "delay":
                    time.sleep(self.delay)
                if self.mode == "drop" or (self.mode == "drop-responses" and is_response):
                    continue
                destination.sendall(data)
        except OSError:
            pass
        for connection in (source, destination):
            try:
                connection.close()
            except OSError:
                pass


class SoakDeployment(Deployment):
    """A deployment whose instances reach the store through proxies."""

    def __init__(self, name, plan, seconds, folder):
        super().__init__(name, plan, seconds, folder)
        store = self.platform.split(":")
        self.proxies = {}
        for index, instance in enumerate(self.instances):
            address = (f"127.{plan['network']}.0.{10 + index}", 8500)
            self.proxies[instance] = StoreProxy(address, (store[0], int(store[1])))

    def store_address(self, name):
        host, port = self.proxies[name].listener.getsockname()
        return f"{host}:{port}"


class HealthChecker(threading.Thread):
    """Checks the readiness of every instance and tells the fabric which are in rotation.

    If no instance is ready, all stay in rotation.
    """

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.failed_checks = {name: 0 for name in deployment.instances}
        self.is_stopped = False

    def run(self):
        announced = None
        while not self.is_stopped:
            for name, (_, address) in self.deployment.instances.items():
                self.failed_checks[name] = (0 if is_ready(address)
                                            else self.failed_checks[name] + 1)
            live_instances = [address
                              for name, (_, address) in self.deployment.instances.items()
                              if self.failed_checks[name] < FAILED_CHECKS_TO_LEAVE_ROTATION]
            live_instances = live_instances or [
                address for _, address in self.deployment.instances.values()]
            if live_instances != announced:
                announced = live_instances
                for listener in self.deployment.listeners.values():
                    request_json("PUT", f"http://{self.deployment.fabric_control}/fabric/live",
                                 {"listener": listener,
                                  "instances": [f"{address}:{DATA_PORT}"
                                                for address in live_instances]})
            time.sleep(0.25)


def is_ready(address):
    try:
        urllib.request.urlopen(f"http://{address}:{READY_PORT}/ready", timeout=0.4).read()
        return True
    except (urllib.error.URLError, ConnectionError, TimeoutError, OSError):
        return False


def status_of(address):
    """Returns the status of an instance, or None if it does not respond in time."""
    try:
        url = f"http://{address}:{METRICS_PORT}/v1/status"
        with urllib.request.urlopen(url, timeout=0.4) as response:
            return json.loads(response.read())
    except (urllib.error.URLError, ConnectionError, TimeoutError, OSError, ValueError):
        return None


class GenerationMonitor(threading.Thread):
    """Checks that no process returns to an older generation of the configuration."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.violations = []
        self.is_stopped = False

    def run(self):
        newest_generations = {}
        while not self.is_stopped:
            for name, (_, address) in self.deployment.instances.items():
                pid = self.deployment.processes[name].pid
                status = status_of(address)
                if status is None or self.deployment.processes[name].pid != pid:
                    continue
                previous = newest_generations.get((name, pid), 0)
                if status["generation"] < previous:
                    self.violations.append(f"{name}: generation went back from {previous} to "
                                           f"{status['generation']}")
                newest_generations[(name, pid)] = max(previous, status["generation"])
            time.sleep(0.1)


class Soak:
    """Injects random faults into a deployment and records them and the violations."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.violations = []
        self.drained_targets = set()
        self.generation = 1
        self.disruptions = []
        self.timers = []
        # Several threads inject faults, but only one at a time for each instance.
        self.instance_locks = {name: threading.Lock() for name in deployment.instances}

    def record_disruption(self, description):
        self.disruptions.append(f"{time.time() - self.started_at:7.2f} {description}")

    def pick_instance(self):
        return self.random.choice(list(self.deployment.instances))

    def restart(self, name, is_graceful):
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGTERM if is_graceful else signal.SIGKILL)
        exit_code = process.wait(timeout=20)
        if is_graceful and exit_code != 0:
            self.violations.append(f"{name}: the graceful stop exited with status {exit_code}")
        time.sleep(self.random.uniform(0, 0.6))
        self.deployment.start_instance(name)
        wait_until_signals_are_handled(self.deployment.processes[name])

    def kill_and_restart(self, name):
        self.restart(name, is_graceful=False)

    def stop_and_restart(self, name):
        self.restart(name, is_graceful=True)

    def pause_instance(self, name):
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.3, 3))
        process.send_signal(signal.SIGCONT)

    def reload_settings(self, name):
        self.deployment.processes[name].send_signal(signal.SIGHUP)

    def disrupt_store_connection(self, name):
        proxy = self.deployment.proxies[name]
        proxy.delay = self.random.uniform(0.02, 0.6)
        proxy.mode = self.random.choice(["delay", "reset", "drop", "drop-responses"])
        time.sleep(self.random.uniform(0.5, 5))
        proxy.mode = "pass"

    def inject_store_fault(self, _):
        mode = self.random.choice(["down", "slow", "lose_answers", "compact"])
        store_url = f"http://{self.deployment.platform}"
        if mode == "compact":
            request_json("POST", f"{store_url}/fake/compact", {})
            return
        request_json("PUT", f"{store_url}/fake/fault", {"mode": mode, "delay_ms": 200})
        time.sleep(self.random.uniform(0.5, 4))
        request_json("PUT", f"{store_url}/fake/fault", {"mode": "none"})

    def drain_or_undrain_target(self, _):
        """Undrains a drained target if there is one; otherwise drains a random target.

        Normally at most one target is drained at a time, so every service keeps most of its
        targets.
        """
        target = self.random.choice(list(self.deployment.targets))
        verb = "undrain" if self.drained_targets else "drain"
        target = next(iter(self.drained_targets)) if self.drained_targets else target
        address = self.deployment.targets[target][2]
        if verb == "undrain":
            request_json("PUT", f"http://{address}:9001/undrain", {})
        result = self.deployment.run_client(verb, "target", target, check=False)
        if result.returncode != 0:
            return
        if verb == "undrain":
            self.drained_targets.discard(target)
            return
        self.drained_targets.add(target)
        timer = threading.Timer(DRAIN_PROPAGATION_SECONDS + FAULT_MARGIN_SECONDS,
                                self.expect_no_new_flows, (target, address))
        self.timers.append(timer)
        timer.start()

    def pause_target(self, _):
        process = self.deployment.processes[
            self.random.choice(list(self.deployment.targets))]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.1, 1))
        process.send_signal(signal.SIGCONT)

    def expect_no_new_flows(self, target, address):
        """Makes a target that is still drained report new flows, each of which is a violation."""
        if target in self.drained_targets:
            request_json("PUT", f"http://{address}:9001/drain", {})

    def disrupt_once(self):
        action = self.random.choice([self.kill_and_restart, self.stop_and_restart,
                                     self.pause_instance, self.reload_settings,
                                     self.disrupt_store_connection,
                                     self.disrupt_store_connection,
                                     self.inject_store_fault, self.drain_or_undrain_target,
                                     self.drain_or_undrain_target, self.pause_target])
        name = self.pick_instance()
        try:
            with self.instance_locks[name]:
                self.record_disruption(f"{action.__name__} {name}")
                action(name)
        except (OSError, subprocess.TimeoutExpired) as error:
            self.violations.append(f"{action.__name__} {name}: {error!r}")

    def run_disruptions(self, deadline):
        while time.time() < deadline:
            time.sleep(self.random.uniform(0.05, 0.6))
            self.disrupt_once()

    def run(self, seconds):
        self.started_at = time.time()
        deadline = self.started_at + seconds
        threads = [threading.Thread(target=self.run_disruptions, args=(deadline,))
                   for _ in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def check_propagation(self):
        """Checks that every instance gets a new generation in time once the faults are over."""
        self.deployment.run_client("drain", "data-centre",
                                   self.deployment.plan["drained_data_centre"], check=False)
        expected = self.newest_generation()
        deadline = time.time() + MAX_PROPAGATION_SECONDS
        while time.time() < deadline:
            if all((status_of(address) or {}).get("generation", 0) >= expected
                   for _, address in self.deployment.instances.values()):
                return
            time.sleep(0.1)
        for name, (_, address) in self.deployment.instances.items():
            if (status_of(address) or {}).get("generation", 0) < expected:
                self.violations.append(f"{name}: generation {expected} is not in force")

    def newest_generation(self):
        output = self.deployment.run_client("show", "--json", check=False).stdout
        return json.loads(output).get("generation", 0) if output else 0


def deployment_plan(instances_each, seed):
    return {
        "network": 100 + seed % 100,
        "data_centres": ["one", "two", "three"],
        "instances_each": instances_each,
        "services": {"catalogue": 6, "mapstore": 3},
        "drained_data_centre": "two",
        "loads": [
            {"name": "look-ups", "service": "catalogue", "class": 1, "rate": 60,
             "repeatable": True},
            {"name": "submissions", "service": "catalogue", "class": 2, "rate": 30},
            {"name": "downloads", "service": "mapstore", "class": 3, "rate": 6,
             "repeatable": True, "requests": 20, "fragments": 4, "bytes": 1000},
        ],
    }


def run_seed(seed, seconds, instances_each, folder):
    deployment = SoakDeployment("soak", deployment_plan(instances_each, seed), seconds, folder)
    soak = Soak(deployment, seed)
    try:
        for proxy in deployment.proxies.values():
            proxy.start()
        deployment.start_servers()
        deployment.apply_configuration()
        health_checker = HealthChecker(deployment)
        generation_monitor = GenerationMonitor(deployment)
        health_checker.start()
        generation_monitor.start()
        deployment.start_callers()
        soak.run(seconds)
        caller_reports = deployment.wait_for_caller_reports()
        soak.check_propagation()
        health_checker.is_stopped = generation_monitor.is_stopped = True
        for timer in soak.timers:
            timer.cancel()
        target_reports = deployment.target_reports()
        violations = (soak.violations + generation_monitor.violations
                      + find_violations(caller_reports, target_reports))
        for report in target_reports:
            if report["new_flows_in_drain"] > 0:
                violations.append(f"{report['name']}: {report['new_flows_in_drain']} new flows "
                                  "after the limit for its drain")
        answered = sum(report["answered"] for report in caller_reports)
        sent = sum(report["sent"] for report in caller_reports)
        print(f"seed {seed}: {len(soak.disruptions)} disruptions, {answered} of {sent} requests "
              f"answered, {sum(report['unopened'] for report in caller_reports)} flows not opened, "
              f"{len(violations)} violations", flush=True)
        for violation in violations:
            print(f"  VIOLATION {violation}")
        if violations:
            for report in caller_reports + target_reports:
                print("  " + json.dumps({key: value for key, value in report.items()
                                         if key != "runs" and value}))
            print("  " + "\n  ".join(soak.disruptions))
        return not violations
    finally:
        for process in deployment.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        deployment.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed (default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (default: 1)")
    parser.add_argument("--seconds", type=int, default=15,
                        help="duration of load and faults for each seed (default: 15)")
    parser.add_argument("--minutes", type=float,
                        help="run for at least this many minutes, with consecutive seeds from "
                             "the clock instead of --seed")
    parser.add_argument("--instances", type=int, default=2,
                        help="instances in each data centre (default: 2)")
    parser.add_argument("--logs", help="keep the logs of the processes in this folder")
    options = parser.parse_args()
    first_seed = options.seed if options.minutes is None else int(time.time()) % 1_000_000
    deadline = time.time() + 60 * (options.minutes or 0)
    has_passed = True
    seed = first_seed
    while seed < first_seed + options.seeds or time.time() < deadline:
        with tempfile.TemporaryDirectory(prefix="kumquatpath-soak-") as folder:
            if options.logs:
                folder = os.path.join(options.logs, str(seed))
                os.makedirs(folder, exist_ok=True)
            has_passed = run_seed(seed, options.seconds, options.instances, folder) and has_passed
        seed += 1
    print("every invariant held" if has_passed else "an invariant was violated")
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
