"""Operators' orders during a soak, and the check that openings obey them.

An order takes targets out of use: the drain of a target, the evacuation of a data centre, or the
removal of a target from the configuration. After the limit of the order, no opening may reach
these targets through an instance that is in touch. After the withdrawal, they take flows again.
All times are seconds of the steady clock, which the targets' reports use too.
"""

import contextlib
import dataclasses
import json
import os
import subprocess
import threading
import time

# Time after the acknowledgement within which openings stop reaching the targets of an order.
DRAIN_SECONDS = 3
REMOVAL_SECONDS = 3
EVACUATION_SECONDS = 5
# Time after the withdrawal within which the targets take flows again.
RETURN_SECONDS = 6
# Time added to the limit of a drain for instances that are not in touch, or if the store fails.
FAULT_MARGIN_SECONDS = 8
# Time after the end of the run for which the last withdrawal is tried.
WITHDRAWAL_SECONDS = 5
# A packet that reached a paused target is counted within this time after the pause.
PACKET_DELAY_SECONDS = 0.2


@dataclasses.dataclass
class Order:
    """Targets that must take no new flow from the limit on until the withdrawal.

    The limit is infinite if the client did not acknowledge the order, which may be in force.
    """

    kind: str
    name: str
    targets: list
    limit_seconds: float
    acknowledged_at: float
    # When the client that withdraws the order was started, and when it was acknowledged.
    withdrawn_at: float = None
    withdrawal_acknowledged_at: float = None

    def is_in_force(self, at):
        return at >= self.acknowledged_at and (self.withdrawn_at is None or at < self.withdrawn_at)

    def __str__(self):
        return f"{self.kind} of {self.name}"


class Disturbances:
    """When the store, an instance or a target was disturbed by a fault."""

    def __init__(self):
        self.spans = []

    def start(self, name):
        """Returns the disturbance, which lasts until end() is called with it."""
        self.spans.append([name, time.monotonic(), None])
        return self.spans[-1]

    @staticmethod
    def end(span):
        span[2] = time.monotonic()

    def overlap(self, name, since, until):
        """Returns a disturbance between the two times, or None."""
        return next((span for span in self.spans if span[0] == name and span[1] <= until
                     and (span[2] is None or span[2] >= since)), None)


def time_of_arrival(disturbances, target, at):
    """Returns the earliest time at which a paused target can have received an opening."""
    pause = disturbances.overlap(target, at - PACKET_DELAY_SECONDS, at)
    return pause[1] if pause else at


def openings_after_limit(order, openings, disturbances):
    """Returns a message for each target that took new flows after the limit of an order.

    openings: by target, the pairs of time and instance.
    """
    messages = []
    for target in order.targets:
        # An opening that a paused target reads after the withdrawal may have been sent after it.
        late = [(at, instance) for at, instance in openings[target]
                if order.is_in_force(at) and is_late(
                    order, time_of_arrival(disturbances, target, at), instance, disturbances)]
        if late:
            after = late[-1][0] - order.acknowledged_at
            messages.append(f"{order}: {target} took {len(late)} new flows later than "
                            f"{order.limit_seconds} s after it, the last one {after:.2f} s after "
                            f"it, through {sorted({instance for _, instance in late})}")
    return messages


def is_late(order, at, instance, disturbances):
    since = at - order.limit_seconds
    if not order.is_in_force(at) or since <= order.acknowledged_at:
        return False
    if order.kind == "drain" and since > order.acknowledged_at + FAULT_MARGIN_SECONDS:
        return True
    return not (disturbances.overlap(instance, since, at)
                or disturbances.overlap("store", since, at))


def missing_return(order, orders, openings, disturbances, ended_at):
    """Returns a message if no target takes flows in time after the withdrawal, or None.

    Checked only if the store was not disturbed and no other order concerned the targets.
    """
    since = order.withdrawal_acknowledged_at
    if since is None or since + RETURN_SECONDS > ended_at:
        return None
    until = since + RETURN_SECONDS
    is_disturbed = disturbances.overlap("store", order.withdrawn_at, until) or any(
        other is not order and set(other.targets) & set(order.targets)
        and other.acknowledged_at < until
        and (other.withdrawal_acknowledged_at is None
             or other.withdrawal_acknowledged_at > since) for other in orders)
    if is_disturbed or any(since <= at <= until for target in order.targets
                           for at, _ in openings[target]):
        return None
    return f"{order}: no target took flows within {RETURN_SECONDS} s after its withdrawal"


def find_order_violations(orders, disturbances, target_reports, instance_names, ended_at):
    """Returns a message for each order that the openings of the targets' reports violate."""
    openings = {report["name"]: [(at / 1000, instance_names.get(sender, sender))
                                 for at, sender in report["openings"]]
                for report in target_reports}
    violations = []
    for order in orders:
        violations += openings_after_limit(order, openings, disturbances)
        message = missing_return(order, orders, openings, disturbances, ended_at)
        violations += [message] if message else []
    return violations


class Operator(threading.Thread):
    """Gives and withdraws orders of one kind until the deadline, one after the other."""

    def __init__(self, soak, kind, random, deadline):
        super().__init__()
        self.soak = soak
        self.deployment = soak.deployment
        self.kind = kind
        self.random = random
        self.deadline = deadline

    def run(self):
        """Runs the orders; their withdrawal may take a little longer than the deadline."""
        try:
            self.run_orders()
        except (OSError, subprocess.TimeoutExpired) as error:
            self.soak.violations.append(f"{self.kind}: {error!r}")

    def run_orders(self):
        give = {"evacuation": self.evacuate, "removal": self.remove_target}[self.kind]
        time.sleep(self.random.uniform(0, 1))
        is_store_stable = self.kind == "evacuation"
        while time.time() < self.deadline:
            # A stable store lets the check of every other evacuation be reached.
            with self.soak.store_lock if is_store_stable else contextlib.nullcontext():
                order, withdrawal = give()
                self.wait(self.limit_seconds() + self.random.uniform(1, 3))
                self.withdraw(order, withdrawal)
            is_store_stable = self.kind == "evacuation" and not is_store_stable
            self.wait(RETURN_SECONDS + self.random.uniform(0, 2))

    def limit_seconds(self):
        return EVACUATION_SECONDS if self.kind == "evacuation" else REMOVAL_SECONDS

    def wait(self, seconds):
        time.sleep(max(0, min(seconds, self.deadline - time.time())))

    def evacuate(self):
        """Evacuates a data centre; returns the order and what withdraws it."""
        data_centre = self.random.choice(self.deployment.plan["data_centres"])
        output = self.run_client("drain", "data-centre", data_centre)
        targets = [name for name, (_, where, _) in self.deployment.targets.items()
                   if where == data_centre]
        order = self.soak.add_order(self.kind, data_centre, targets, self.limit_seconds(),
                                    is_acknowledged=output is not None)
        return order, lambda: self.run_client("undrain", "data-centre", data_centre) is not None

    def remove_target(self):
        """Removes a target while the instances that read the store restart.

        Returns the order and what adds the target again. The target is one whose flows have a
        single request.
        """
        target = self.random.choice([name for name, (service, _, _)
                                     in self.deployment.targets.items()
                                     if service == "catalogue"])
        entry = {}
        # Half of the instances stay undisturbed.
        readers = sorted(self.deployment.readers()[:len(self.deployment.instances) // 2])
        for name in readers:
            self.soak.instance_locks[name].acquire()
        try:
            spans = [self.soak.kill(name) for name in readers]
            is_acknowledged = self.change_targets(
                lambda targets: entry.update(targets.pop(target, {})))
            order = self.soak.add_order(self.kind, target, [target], self.limit_seconds(),
                                        is_acknowledged)
            time.sleep(self.random.uniform(0, 0.4))
            for name, span in zip(readers, spans):
                self.soak.start(name, span)
        finally:
            for name in readers:
                self.soak.instance_locks[name].release()
        self.soak.record_disruption(f"readers restarted: {readers}")
        return order, lambda: self.change_targets(
            lambda targets: entry and targets.setdefault(target, entry))

    def change_targets(self, change):
        """Publishes a change of the catalogue's targets; returns whether it is acknowledged."""
        shown = self.run_client("show")
        if shown is None:
            return False
        document = json.loads(shown)
        change(document["pools"]["catalogue-hosts"]["targets"])
        path = os.path.join(self.deployment.folder, "removal.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        return self.run_client("apply", path, "--cut-flows") is not None

    def withdraw(self, order, withdrawal):
        """Withdraws an order; tries again if the store fails meanwhile."""
        order.withdrawn_at = time.monotonic()
        self.soak.record_disruption(f"withdrawing the {order}")
        while not withdrawal():
            if time.time() >= self.deadline + WITHDRAWAL_SECONDS:
                return
            time.sleep(0.2)
        order.withdrawal_acknowledged_at = time.monotonic()

    def run_client(self, *arguments):
        """Returns the output of the operators' client, or None if it failed."""
        result = self.deployment.run_client(*arguments, check=False)
        return result.stdout if result.returncode == 0 else None
