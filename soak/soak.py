#!/usr/bin/env python3
"""Runs a fleet as real processes under random faults and checks its promises.

Faults come from outside, in series that overlap: instances are stopped, paused, killed and
restarted, each instance's connections to the store are delayed, reset, cut one way or silenced
by a loopback proxy, the store itself fails or forgets its history, targets pause, and
configurations change all the while. The promises are checked by what callers and targets saw
and by what instances say of themselves. Only processes that this run started are ended.
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
from deployment import (DATA_PORT, OPERATORS_PORT, READY_PORT, Deployment,  # noqa: E402
                        faults_in, http, wait_until_signals_are_held)

IN_FORCE_SECONDS = 6
DRAIN_SECONDS = 3
CALM_SECONDS = 8
MISSES_TO_LEAVE_ROTATION = 2


class StoreProxy(threading.Thread):
    """Passes TCP connections of one instance on to the store, as well as its mode lets it."""

    def __init__(self, address, store):
        super().__init__(daemon=True)
        self.store = store
        self.mode = "pass"
        self.delay = 0.0
        self.listener = socket.create_server(address)

    def run(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        try:
            server = socket.create_connection(self.store, timeout=2)
        except OSError:
            client.close()
            return
        for source, sink, is_answer in ((client, server, False), (server, client, True)):
            threading.Thread(target=self.pump, args=(source, sink, is_answer),
                             daemon=True).start()

    def pump(self, source, sink, is_answer):
        try:
            while data := source.recv(65536):
                if self.mode == "reset":
                    break
                if self.mode == "delay":
                    time.sleep(self.delay)
                if self.mode == "silent" or (self.mode == "one-way" and is_answer):
                    continue
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.close()
            except OSError:
                pass


class SoakDeployment(Deployment):
    """A deployment whose instances reach the store through proxies."""

    def __init__(self, name, plan, seconds, folder):
        super().__init__(name, plan, seconds, folder)
        store = self.platform.split(":")
        self.proxies = {}
        for number, instance in enumerate(self.instances):
            address = (f"127.{plan['network']}.0.{10 + number}", 8500)
            self.proxies[instance] = StoreProxy(address, (store[0], int(store[1])))

    def state_address(self, name):
        host, port = self.proxies[name].listener.getsockname()
        return f"{host}:{port}"


class Fabric(threading.Thread):
    """Asks instances for readiness twice a second and tells the fabric who is in rotation."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.misses = {name: 0 for name in deployment.instances}
        self.is_over = False

    def run(self):
        told = None
        while not self.is_over:
            for name, (_, address) in self.deployment.instances.items():
                self.misses[name] = 0 if is_ready(address) else self.misses[name] + 1
            live = [address for name, (_, address) in self.deployment.instances.items()
                    if self.misses[name] < MISSES_TO_LEAVE_ROTATION]
            live = live or [address for _, address in self.deployment.instances.values()]
            if live != told:
                told = live
                for listener in self.deployment.listeners.values():
                    http("PUT", f"http://{self.deployment.fabric_control}/fabric/live",
                         {"listener": listener,
                          "instances": [f"{each}:{DATA_PORT}" for each in live]})
            time.sleep(0.25)


def is_ready(address):
    try:
        urllib.request.urlopen(f"http://{address}:{READY_PORT}/ready", timeout=0.4).read()
        return True
    except (urllib.error.URLError, ConnectionError, TimeoutError, OSError):
        return False


def status_of(address):
    try:
        url = f"http://{address}:{OPERATORS_PORT}/v1/status"
        with urllib.request.urlopen(url, timeout=0.4) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, ConnectionError, TimeoutError, OSError, ValueError):
        return None


class Watcher(threading.Thread):
    """Checks that no process goes back to an older generation."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.faults = []
        self.is_over = False

    def run(self):
        seen = {}
        while not self.is_over:
            for name, (_, address) in self.deployment.instances.items():
                process = self.deployment.processes[name].pid
                status = status_of(address)
                if status is None or self.deployment.processes[name].pid != process:
                    continue
                former = seen.get((name, process), 0)
                if status["generation"] < former:
                    self.faults.append(f"{name} went from generation {former} back to "
                                       f"{status['generation']}")
                seen[(name, process)] = max(former, status["generation"])
            time.sleep(0.1)


class Soak:
    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.faults = []
        self.drained = set()
        self.generation = 1
        self.did = []
        self.timers = []
        # Series overlap, but one instance is disturbed by one of them at a time.
        self.locks = {name: threading.Lock() for name in deployment.instances}

    def note(self, what):
        self.did.append(f"{time.time() - self.began:7.2f} {what}")

    def pick_instance(self):
        return self.random.choice(list(self.deployment.instances))

    def restart(self, name, planned):
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGTERM if planned else signal.SIGKILL)
        code = process.wait(timeout=20)
        if planned and code != 0:
            self.faults.append(f"{name}: a planned stop ended with {code}")
        time.sleep(self.random.uniform(0, 0.6))
        self.deployment.start_instance(name)
        wait_until_signals_are_held(self.deployment.processes[name])

    def kill(self, name):
        self.restart(name, planned=False)

    def stop(self, name):
        self.restart(name, planned=True)

    def pause(self, name):
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.3, 3))
        process.send_signal(signal.SIGCONT)

    def reload(self, name):
        self.deployment.processes[name].send_signal(signal.SIGHUP)

    def disturb_proxy(self, name):
        proxy = self.deployment.proxies[name]
        proxy.delay = self.random.uniform(0.02, 0.6)
        proxy.mode = self.random.choice(["delay", "reset", "silent", "one-way"])
        time.sleep(self.random.uniform(0.5, 5))
        proxy.mode = "pass"

    def disturb_store(self, _):
        mode = self.random.choice(["down", "slow", "lose_answers", "compact"])
        base = f"http://{self.deployment.platform}"
        if mode == "compact":
            http("POST", f"{base}/fake/compact", {})
            return
        http("PUT", f"{base}/fake/fault", {"mode": mode, "delay_ms": 200})
        time.sleep(self.random.uniform(0.5, 4))
        http("PUT", f"{base}/fake/fault", {"mode": "none"})

    def change(self, _):
        """Drains or undrains a target; at most one of a service is drained at a time."""
        target = self.random.choice(list(self.deployment.targets))
        verb = "undrain" if self.drained else "drain"
        target = next(iter(self.drained)) if self.drained else target
        address = self.deployment.targets[target][2]
        if verb == "undrain":
            http("PUT", f"http://{address}:9001/undrain", {})
        done = self.deployment.client(verb, "target", target, check=False)
        if done.returncode != 0:
            return
        if verb == "undrain":
            self.drained.discard(target)
            return
        self.drained.add(target)
        # Faults of the store and of instances hold the change up.
        timer = threading.Timer(DRAIN_SECONDS + CALM_SECONDS, self.expect_no_new_flows,
                                (target, address))
        self.timers.append(timer)
        timer.start()

    def pause_target(self, _):
        process = self.deployment.processes[
            self.random.choice(list(self.deployment.targets))]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.1, 1))
        process.send_signal(signal.SIGCONT)

    def expect_no_new_flows(self, target, address):
        if target in self.drained:
            http("PUT", f"http://{address}:9001/drain", {})

    def act(self):
        action = self.random.choice([self.kill, self.stop, self.pause, self.reload,
                                     self.disturb_proxy, self.disturb_proxy,
                                     self.disturb_store, self.change, self.change,
                                     self.pause_target])
        name = self.pick_instance()
        try:
            with self.locks[name]:
                self.note(f"{action.__name__} {name}")
                action(name)
        except (OSError, subprocess.TimeoutExpired) as failure:
            self.faults.append(f"{action.__name__} {name}: {failure!r}")

    def series(self, end):
        while time.time() < end:
            time.sleep(self.random.uniform(0.05, 0.6))
            self.act()

    def run(self, seconds):
        self.began = time.time()
        end = self.began + seconds
        threads = [threading.Thread(target=self.series, args=(end,)) for _ in range(3)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

    def check_in_force(self):
        """After the faults, every instance has the newest generation within the bound."""
        self.deployment.client("drain", "data-centre", self.deployment.plan["withdrawn"],
                               check=False)
        wanted = self.newest()
        limit = time.time() + IN_FORCE_SECONDS
        while time.time() < limit:
            if all((status_of(address) or {}).get("generation", 0) >= wanted
                   for _, address in self.deployment.instances.values()):
                return
            time.sleep(0.1)
        for name, (_, address) in self.deployment.instances.items():
            if (status_of(address) or {}).get("generation", 0) < wanted:
                self.faults.append(f"{name} hasn't generation {wanted} in force")

    def newest(self):
        shown = self.deployment.client("show", "--json", check=False).stdout
        return json.loads(shown).get("generation", 0) if shown else 0


def plan_of(instances_each, seed):
    return {
        "network": 100 + seed % 100,
        "data_centres": ["one", "two", "three"],
        "instances_each": instances_each,
        "services": {"catalogue": 6, "mapstore": 3},
        "withdrawn": "two",
        "loads": [
            {"name": "look-ups", "service": "catalogue", "class": 1, "rate": 60,
             "repeatable": True},
            {"name": "submissions", "service": "catalogue", "class": 2, "rate": 30},
            {"name": "downloads", "service": "mapstore", "class": 3, "rate": 6,
             "repeatable": True, "requests": 20, "fragments": 4, "bytes": 1000},
        ],
    }


def play(seed, seconds, instances_each, folder):
    deployment = SoakDeployment("soak", plan_of(instances_each, seed), seconds, folder)
    soak = Soak(deployment, seed)
    try:
        for proxy in deployment.proxies.values():
            proxy.start()
        deployment.start_all()
        deployment.submit()
        fabric = Fabric(deployment)
        watcher = Watcher(deployment)
        fabric.start()
        watcher.start()
        deployment.start_callers()
        soak.run(seconds)
        callers = deployment.caller_reports()
        soak.check_in_force()
        fabric.is_over = watcher.is_over = True
        for timer in soak.timers:
            timer.cancel()
        targets = deployment.target_reports()
        faults = soak.faults + watcher.faults + faults_in(callers, targets)
        for each in targets:
            if each["new_flows_in_drain"] > 0:
                faults.append(f"{each['name']}: {each['new_flows_in_drain']} new flows "
                              "long after its drain")
        answered = sum(each["answered"] for each in callers)
        sent = sum(each["sent"] for each in callers)
        print(f"seed {seed}: {len(soak.did)} disturbances, {answered} of {sent} requests "
              f"answered, {sum(each['unopened'] for each in callers)} flows not opened, "
              f"{len(faults)} faults", flush=True)
        for fault in faults:
            print(f"  FAULT {fault}")
        if faults:
            for each in callers + targets:
                print("  " + json.dumps({key: value for key, value in each.items()
                                         if key != "runs" and value}))
            print("  " + "\n  ".join(soak.did))
        return not faults
    finally:
        for process in deployment.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        deployment.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed (1)")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds (1)")
    parser.add_argument("--seconds", type=int, default=15, help="how long each is played (15)")
    parser.add_argument("--minutes", type=float, help="go on with fresh seeds for this long")
    parser.add_argument("--instances", type=int, default=2,
                        help="instances in each data centre (2)")
    parser.add_argument("--logs", help="keep the processes' logs in this folder")
    options = parser.parse_args()
    first = options.seed if options.minutes is None else int(time.time()) % 1_000_000
    end = time.time() + 60 * (options.minutes or 0)
    held = True
    seed = first
    while seed < first + options.seeds or time.time() < end:
        with tempfile.TemporaryDirectory(prefix="kumquatpath-soak-") as folder:
            if options.logs:
                folder = os.path.join(options.logs, str(seed))
                os.makedirs(folder, exist_ok=True)
            held = play(seed, options.seconds, options.instances, folder) and held
        seed += 1
    print("every promise held" if held else "a promise was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
