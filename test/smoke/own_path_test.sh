#!/usr/bin/env bash
# Publishes a configuration with the operators' client and sends requests from the fake caller
# through the fake fabric and two instances to the fake target. Every request must be answered.
# The instances use the native packet format, which is the interface "own" of the settings and the
# default.
# Usage: own_path_test.sh BUILD_DIRECTORY
set -euo pipefail

build=$1
folder=$(mktemp -d)
started_pids=()
stop_all() {
    [ "${#started_pids[@]}" -eq 0 ] || kill "${started_pids[@]}" 2>/dev/null || true
    wait
    rm -rf "$folder"
}
trap stop_all EXIT

start() {
    "$@" >>"$folder/log" 2>&1 &
    started_pids+=($!)
}

start_instance() {
    cat >"$folder/$1.json" <<JSON
{"name": "$1", "data_centre": "north", "data": "$2:7001", "ready": "$2:7002",
 "ready_path": "/ready", "metrics": "$2:7003", "peer": "$2:7004", "state": "127.81.1.1:7000",
 "seeds": ["127.81.1.4:7004"],
 "peer_key": "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a"}
JSON
    start "$build/src/daemon/kumquatpathd" "$folder/$1.json"
}

cat >"$folder/configuration.json" <<'JSON'
{"format": 1,
 "data_centres": {"north": {"region": "home"}},
 "pools": {"hosts": {"targets": {
   "target-1": {"address": "127.81.1.3:9000", "data_centre": "north"}}}},
 "services": {"catalogue": {"pool": "hosts"}},
 "listeners": {"front": {"address": "127.81.1.2:9000", "kind": "datagram", "service": "catalogue"}},
 "tenants": {"guides": {"id": 1}},
 "classes": {"look-up": {"id": 1, "repeatable": true}}}
JSON

start "$build/fakes/fake_platform" --listen 127.81.1.1:7000
start "$build/fakes/fake_fabric" --listen 127.81.1.2:7001 \
    --map 127.81.1.2:9000=127.81.1.4:7001,127.81.1.5:7001
start "$build/fakes/fake_target" --listen 127.81.1.3:9000 --http 127.81.1.3:9001 \
    --name target-1 --service catalogue --service-us 100
start_instance entry-1 127.81.1.4
start_instance entry-2 127.81.1.5
for address in 127.81.1.1:7000/v1/kv-range 127.81.1.2:7001/fabric/counts \
    127.81.1.3:9001/health 127.81.1.4:7003/v1/status 127.81.1.5:7003/v1/status; do
    curl -sf --retry 50 --retry-delay 0 --retry-connrefused -o /dev/null "http://$address"
done

client=("$build/src/client/kumquatpath" --platform 127.81.1.1:7000)
"${client[@]}" apply "$folder/configuration.json" --wait --instance 127.81.1.4:7003
"${client[@]}" status --instance 127.81.1.4:7003
report=$("$build/fakes/fake_caller" --fabric 127.81.1.2:9000 --service catalogue --class 1 \
    --tenant 1 --rate 100 --seconds 0.5 --flow-requests 3 --request-interval-ms 5 \
    --fragments 3 --deadline-ms 20000)
python3 - "$report" <<'PYTHON'
import json
import sys

report = json.loads(sys.argv[1])
assert report["sent"] > 0 and report["answered"] == report["sent"], report
assert report["unopened"] == 0 and report["timed_out"] == 0, report
assert report["broken_flows"] == 0 and report["wrong_answers"] == 0, report
PYTHON
