"""Starts and stops the processes of a deployment on loopback, and checks what they report."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")
PEER_KEY = "5a" * 32
# Time for callers to finish their flows after they have opened the last one.
CALLER_GRACE_SECONDS = 20
DATA_PORT = 7001
READY_PORT = 7800
PEER_PORT = 7900
METRICS_PORT = 7901  # serves /metrics and /v1/status
TRAFFIC_CLASSES = {
    "look-up": {"id": 1, "priority": 0, "repeatable": True, "deadline_ms": 2000},
    "submission": {"id": 2, "priority": 1, "repeatable": False, "deadline_ms": 4000},
    "download": {"id": 3, "priority": 2, "repeatable": True, "deadline_ms": 4000},
}


class Deployment:
    """The processes of one deployment, and the addresses that they use.

    The keys of the plan:
      network              second octet of every address: 127.NETWORK.x.x
      data_centres         their names
      instances_each       instances in each data centre; by default 2 in the first two data
                           centres and 1 in each of the others
      services             number of targets by service
      loads                what each caller sends; "requests" is the number for each flow
      drained_data_centre  the data centre that drain_data_centre() drains
    """

    def __init__(self, name, plan, seconds, folder):
        self.name = name
        self.plan = plan
        self.seconds = seconds
        self.folder = folder
        self.processes = {}
        network = plan["network"]
        self.platform = f"127.{network}.0.1:8500"
        self.fabric_control = f"127.{network}.0.2:8600"
        self.listeners = {service: f"127.{network}.0.3:{7001 + i}"
                          for i, service in enumerate(plan["services"])}
        self.instances = {}
        for i, data_centre in enumerate(plan["data_centres"]):
            count = plan.get("instances_each", 2 if i < 2 else 1)
            for k in range(count):
                self.instances[f"{data_centre}-{k + 1}"] = (
                    data_centre, f"127.{network}.{i + 1}.{k + 1}")
        self.targets = {}
        for j, (service, count) in enumerate(plan["services"].items()):
            for k in range(count):
                data_centre = plan["data_centres"][k % len(plan["data_centres"])]
                self.targets[f"{service}-{k + 1}"] = (
                    service, data_centre, f"127.{network}.{100 + j}.{k + 1}")

    def start(self, name, program, *arguments):
        log = open(os.path.join(self.folder, f"{self.name}-{name}.log"), "a")
        self.processes[name] = subprocess.Popen(
            [os.path.join(BUILD, program), *arguments], stdout=subprocess.PIPE
            if program.endswith("fake_caller") else log, stderr=log, text=True)

    def run_client(self, *arguments, check=True):
        """Runs the operators' client. If check is set and the client fails, ends this program."""
        result = subprocess.run(
            [os.path.join(BUILD, "src/client/kumquatpath"), "--platform", self.platform,
             *arguments], check=False, text=True, capture_output=True,
            env={**os.environ, "KUMQUATPATH_INSTANCE":
                 f"{next(iter(self.instances.values()))[1]}:{METRICS_PORT}"})
        if check and result.returncode != 0:
            sys.exit(f"kumquatpath {' '.join(arguments)} exited with status {result.returncode}:\n"
                     f"{result.stdout}{result.stderr}")
        return result

    def configuration(self):
        """Returns the configuration document that publishes every target and listener."""
        services = self.plan["services"]
        pools = {f"{service}-hosts": {"targets": {}} for service in services}
        for name, (service, data_centre, address) in self.targets.items():
            pools[f"{service}-hosts"]["targets"][name] = {
                "address": f"{address}:9000", "data_centre": data_centre}
        return {
            "format": 1,
            "data_centres": {data_centre: {"region": self.name}
                             for data_centre in self.plan["data_centres"]},
            "pools": pools,
            "services": {service: {"pool": f"{service}-hosts"} for service in services},
            "listeners": {f"{service}-in": {"address": address, "kind": "datagram",
                                            "service": service}
                          for service, address in self.listeners.items()},
            "tenants": {self.name: {"id": 1}},
            "classes": TRAFFIC_CLASSES,
        }

    def start_servers(self):
        """Starts every process but the callers."""
        self.start("platform", "fakes/fake_platform", "--listen", self.platform)
        for name, (service, data_centre, address) in self.targets.items():
            self.start(name, "fakes/fake_target", "--listen", f"{address}:9000", "--http",
                       f"{address}:9001", "--name", name, "--service", service,
                       "--data-centre", data_centre)
        live_instances = ",".join(f"{ip}:{DATA_PORT}" for _, ip in self.instances.values())
        map_arguments = []
        for address in self.listeners.values():
            map_arguments += ["--map", f"{address}={live_instances}"]
        self.start("fabric", "fakes/fake_fabric", "--listen", self.fabric_control,
                   *map_arguments)
        for name in self.instances:
            self.start_instance(name)

    def store_address(self, name):
        """Returns the address at which the named instance reaches the store."""
        return self.platform

    def extra_settings(self, name):
        """Returns the optional settings of the named instance."""
        return {}

    def start_instance(self, name):
        data_centre, address = self.instances[name]
        settings = {
            "name": name, "data_centre": data_centre, "data": f"{address}:{DATA_PORT}",
            "ready": f"{address}:{READY_PORT}", "ready_path": "/ready",
            "metrics": f"{address}:{METRICS_PORT}", "peer": f"{address}:{PEER_PORT}",
            "peer_key": PEER_KEY, "state": self.store_address(name),
            "seeds": [f"{ip}:{PEER_PORT}" for _, ip in list(self.instances.values())[:3]],
            **self.extra_settings(name),
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.start(name, "src/daemon/kumquatpathd", path)

    def apply_configuration(self):
        """Checks and publishes the configuration, and waits until it is in force."""
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.configuration(), file, indent=2)
        check_result = self.run_client("check", path, check=False)
        if check_result.returncode != 0:
            sys.exit(f"kumquatpath check rejected the configuration:\n"
                     f"{check_result.stdout}{check_result.stderr}")
        return self.run_client("apply", path, "--wait").stdout.strip()

    def start_callers(self):
        for i, load in enumerate(self.plan["loads"]):
            arguments = [
                "--name", load["name"], "--fabric", self.listeners[load["service"]],
                "--listen", f"127.{self.plan['network']}.200.{i + 1}",
                "--service", load["service"], "--class", str(load["class"]),
                "--tenant", "1", "--rate", str(load["rate"]), "--seconds",
                str(self.seconds), "--seed", str(i + 1), "--deadline-ms", "4000"]
            if load.get("repeatable"):
                arguments.append("--repeatable")
            if "requests" in load:
                arguments += ["--flow-requests", str(load["requests"]),
                              "--request-interval-ms", "200",
                              "--fragments", str(load["fragments"]),
                              "--bytes", str(load["bytes"])]
            self.start(load["name"], "fakes/fake_caller", *arguments)

    def drain_data_centre(self):
        """Drains a data centre and stops one of its instances; returns the name of the instance.

        The fabric takes the instance out of rotation before the instance is stopped.
        """
        drained_data_centre = self.plan["drained_data_centre"]
        print(f"  draining {drained_data_centre}: "
              + self.run_client("drain", "data-centre", drained_data_centre).stdout.strip())
        stopped_instance = next(name for name, (data_centre, _) in self.instances.items()
                                if data_centre == drained_data_centre)
        time.sleep(1)
        live_instances = [f"{ip}:{DATA_PORT}" for name, (_, ip) in self.instances.items()
                          if name != stopped_instance]
        for address in self.listeners.values():
            request_json("PUT", f"http://{self.fabric_control}/fabric/live",
                         {"listener": address, "instances": live_instances})
        self.processes[stopped_instance].send_signal(signal.SIGTERM)
        return stopped_instance

    def wait_for_caller_reports(self):
        """Waits for the callers to end and returns the report that each has printed."""
        reports = []
        for load in self.plan["loads"]:
            output, _ = self.processes[load["name"]].communicate(
                timeout=self.seconds + CALLER_GRACE_SECONDS)
            reports.append(json.loads(output.strip().splitlines()[-1]))
        return reports

    def target_reports(self):
        return [request_json("GET", f"http://{address}:9001/report")
                for _, _, address in self.targets.values()]

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def wait_until_signals_are_handled(process, timeout_seconds=5):
    """Waits until a process blocks or catches SIGHUP. Until then, SIGHUP would end it."""
    sighup_bit = 1 << (signal.SIGHUP - 1)
    deadline = time.time() + timeout_seconds
    while process.poll() is None and time.time() < deadline:
        with open(f"/proc/{process.pid}/status") as status:
            masks = [int(line.split()[1], 16) for line in status
                     if line.startswith(("SigBlk:", "SigCgt:"))]
        if any(mask & sighup_bit for mask in masks):
            return
        time.sleep(0.0005)


def request_json(method, url, body=None, attempts=40):
    """Sends an HTTP request, and retries it because the server may still be starting.

    Returns the JSON body of the response. Raises the error of the last attempt.
    """
    data = None if body is None else json.dumps(body).encode()
    for attempt in range(attempts):
        try:
            request = urllib.request.Request(url, data=data, method=method)
            with urllib.request.urlopen(request, timeout=2) as response:
                return json.loads(response.read() or b"{}")
        except (urllib.error.URLError, ConnectionError, TimeoutError):
            if attempt == attempts - 1:
                raise
            time.sleep(0.1)
    return None


def find_violations(caller_reports, target_reports):
    """Returns a message for each invariant that the reports show to be violated."""
    violations = []
    target_by_request = {}
    for report in caller_reports:
        if report["broken_flows"] > 0:
            violations.append(f"{report['name']}: {report['broken_flows']} broken flows")
        if report["answered"] == 0:
            violations.append(f"{report['name']}: no request was answered")
    for report in target_reports:
        for request in report["runs"]:
            if request in target_by_request:
                violations.append(f"non-repeatable request {request} ran on both "
                                  f"{target_by_request[request]} and {report['name']}")
            target_by_request[request] = report["name"]
        if report["misdelivered"] > 0:
            violations.append(f"{report['name']}: {report['misdelivered']} packets "
                              "for another service")
    return violations
