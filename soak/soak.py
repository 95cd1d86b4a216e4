#!/usr/bin/env python3
"""Runs a deployment of real processes under random faults and checks its invariants.

Several threads inject faults at the same time. Instances are stopped, killed, restarted and
paused, and told to reload their settings. A loopback proxy delays, resets or drops the traffic
between an instance and the store, in one direction or both. The store fails or compacts its
history, targets are paused, and the configuration changes throughout. Operators drain and remove
targets and evacuate data centres (see orders.py). Half of the instances, at random, have the
settings "target_speeds" and "priorities". The invariants are checked with the reports of callers
and targets and with the status of the instances. The run ends only processes that it has started.
"""

import argparse
import json
import os
import random
import signal
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
from orders import (DRAIN_SECONDS, Disturbances, Operator, Order,  # noqa: E402
                    find_order_violations)
from store_proxy import StoreProxy  # noqa: E402

# Time after the faults within which every instance must have the newest configuration in force.
MAX_PROPAGATION_SECONDS = 6
# The longest time for which a drain is held, so that its check is reached.
MAX_DRAIN_SECONDS = 14
FAILED_CHECKS_TO_LEAVE_ROTATION = 2


class SoakDeployment(Deployment):
    """A deployment whose instances reach the store through proxies."""

    def __init__(self, name, plan, seconds, folder, seed):
        super().__init__(name, plan, seconds, folder)
        random_settings = random.Random(seed)
        half = len(self.instances) // 2
        self.settings_of_half = {
            key: random_settings.sample(sorted(self.instances), half)
            for key in ("target_speeds", "priorities")}
        store = self.platform.split(":")
        self.proxies = {}
        # The size of each instance's log when its process was started.
        self.log_offsets = {}
        for index, instance in enumerate(self.instances):
            address = (f"127.{plan['network']}.0.{10 + index}", 8500)
            self.proxies[instance] = StoreProxy(address, (store[0], int(store[1])))

    def store_address(self, name):
        host, port = self.proxies[name].listener.getsockname()
        return f"{host}:{port}"

    def log_path(self, name):
        return os.path.join(self.folder, f"{self.name}-{name}.log")

    def start_instance(self, name):
        path = self.log_path(name)
        self.log_offsets[name] = os.path.getsize(path) if os.path.exists(path) else 0
        super().start_instance(name)

    def readers(self):
        """Returns the instances that read the store, which the logs of their processes show."""
        readers = []
        for name, offset in self.log_offsets.items():
            with open(self.log_path(name), "rb") as log:
                log.seek(offset)
                events = [line for line in log if b'"reading_' in line]
            if events and b'"reading_started"' in events[-1]:
                readers.append(name)
        return readers

    def extra_settings(self, name):
        return {key: True for key, names in self.settings_of_half.items() if name in names}


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
        self.seed = seed
        self.random = random.Random(seed)
        self.violations = []
        # The order that drains a target, and the time until which it is held.
        self.drain = None
        self.drained_until = 0
        self.drain_lock = threading.Lock()
        # Held during a fault of the store, and while the store must stay stable.
        self.store_lock = threading.Lock()
        self.generation = 1
        self.disruptions = []
        self.orders = []
        self.disturbances = Disturbances()
        # Several threads inject faults, but only one at a time for each instance.
        self.instance_locks = {name: threading.Lock() for name in deployment.instances}

    def record_disruption(self, description):
        self.disruptions.append(f"{time.time() - self.started_at:7.2f} {description}")

    def pick_instance(self):
        return self.random.choice(list(self.deployment.instances))

    def add_order(self, kind, name, targets, limit_seconds, is_acknowledged):
        order = Order(kind, name, targets, limit_seconds if is_acknowledged else float("inf"),
                      time.monotonic())
        self.orders.append(order)
        self.record_disruption(f"{order}{'' if is_acknowledged else ', not acknowledged'}")
        return order

    def kill(self, name):
        """Returns the disturbance, which lasts until start()."""
        span = self.disturbances.start(name)
        self.deployment.processes[name].send_signal(signal.SIGKILL)
        self.deployment.processes[name].wait(timeout=20)
        return span

    def start(self, name, span):
        self.deployment.start_instance(name)
        wait_until_signals_are_handled(self.deployment.processes[name])
        self.disturbances.end(span)

    def stop(self, name):
        """Returns the disturbance, which lasts until start()."""
        span = self.disturbances.start(name)
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGTERM)
        exit_code = process.wait(timeout=20)
        if exit_code != 0:
            self.violations.append(f"{name}: the graceful stop exited with status {exit_code}")
        return span

    def kill_and_restart(self, name):
        span = self.kill(name)
        time.sleep(self.random.uniform(0, 0.6))
        self.start(name, span)

    def stop_and_restart(self, name):
        span = self.stop(name)
        time.sleep(self.random.uniform(0, 0.6))
        self.start(name, span)

    def pause(self, name, seconds):
        process = self.deployment.processes[name]
        span = self.disturbances.start(name)
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.disturbances.end(span)

    def pause_instance(self, name):
        self.pause(name, self.random.uniform(0.3, 3))

    def pause_target(self, _):
        self.pause(self.random.choice(list(self.deployment.targets)),
                   self.random.uniform(0.1, 1))

    def reload_settings(self, name):
        self.deployment.processes[name].send_signal(signal.SIGHUP)

    def disrupt_store_connection(self, name):
        proxy = self.deployment.proxies[name]
        proxy.delay = self.random.uniform(0.02, 0.6)
        span = self.disturbances.start(name)
        proxy.mode = self.random.choice(["delay", "reset", "drop", "drop-responses"])
        time.sleep(self.random.uniform(0.5, 5))
        proxy.mode = "pass"
        self.disturbances.end(span)

    def inject_store_fault(self, _):
        mode = self.random.choice(["down", "slow", "lose_answers", "compact"])
        store_url = f"http://{self.deployment.platform}"
        if mode == "compact":
            request_json("POST", f"{store_url}/fake/compact", {})
            return
        if not self.store_lock.acquire(blocking=False):
            return
        try:
            span = self.disturbances.start("store")
            request_json("PUT", f"{store_url}/fake/fault", {"mode": mode, "delay_ms": 200})
            time.sleep(self.random.uniform(0.5, 4))
            request_json("PUT", f"{store_url}/fake/fault", {"mode": "none"})
            self.disturbances.end(span)
        finally:
            self.store_lock.release()

    def drain_or_undrain_target(self, _):
        """Undrains a drained target after a while; drains a random target if there is none.

        At most one target is drained at a time, so every service keeps most of its targets.
        """
        with self.drain_lock:
            if self.drain is None:
                self.drain_target()
            elif time.monotonic() >= self.drained_until:
                self.undrain_target()

    def drain_target(self):
        target = self.random.choice(list(self.deployment.targets))
        result = self.deployment.run_client("drain", "target", target, check=False)
        is_acknowledged = result.returncode == 0
        self.drain = self.add_order("drain", target, [target], DRAIN_SECONDS, is_acknowledged)
        # Half of the drains are short, so that the configuration changes often.
        hold_seconds = self.random.choice([0, self.random.uniform(0, MAX_DRAIN_SECONDS)])
        self.drained_until = self.drain.acknowledged_at + hold_seconds

    def undrain_target(self):
        order = self.drain
        order.withdrawn_at = order.withdrawn_at or time.monotonic()
        result = self.deployment.run_client("undrain", "target", order.name, check=False)
        if result.returncode == 0:
            order.withdrawal_acknowledged_at = time.monotonic()
            self.drain = None

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
        threads += [Operator(self, kind, random.Random(f"{self.seed} {kind}"), deadline)
                    for kind in ("evacuation", "removal")]
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
    plan = deployment_plan(instances_each, seed)
    deployment = SoakDeployment("soak", plan, seconds, folder, seed)
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
        callers_end_at = time.monotonic() + seconds
        soak.run(seconds)
        caller_reports = deployment.wait_for_caller_reports()
        soak.check_propagation()
        health_checker.is_stopped = generation_monitor.is_stopped = True
        target_reports = deployment.target_reports()
        violations = (soak.violations + generation_monitor.violations
                      + find_violations(caller_reports, target_reports))
        instance_names = {f"{address}:{DATA_PORT}": name
                          for name, (_, address) in deployment.instances.items()}
        violations += find_order_violations(soak.orders, soak.disturbances, target_reports,
                                            instance_names, callers_end_at)
        answered = sum(report["answered"] for report in caller_reports)
        sent = sum(report["sent"] for report in caller_reports)
        unopened = sum(report["unopened"] for report in caller_reports)
        print(f"seed {seed}: {len(soak.disruptions)} disruptions, {len(soak.orders)} orders, "
              f"{answered} of {sent} requests answered, {unopened} flows not opened, "
              f"{len(violations)} violations", flush=True)
        for violation in violations:
            print(f"  VIOLATION {violation}")
        if violations:
            for report in caller_reports + target_reports:
                print("  " + json.dumps({key: value for key, value in report.items()
                                         if key not in ("runs", "openings") and value}))
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
