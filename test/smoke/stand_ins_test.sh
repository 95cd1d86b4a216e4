#!/usr/bin/env bash
# Sends requests from the stand-in caller through the stand-in fabric straight to a
# stand-in target, and writes a key twice on the stand-in platform.
# Usage: stand_ins_test.sh DIRECTORY_OF_THE_PROGRAMS
set -euo pipefail

programs=$1
started=()
stop_all() {
    [ "${#started[@]}" -eq 0 ] || kill "${started[@]}" 2>/dev/null || true
    wait
}
trap stop_all EXIT

"$programs/fake_platform" --listen 127.81.1.1:7000 &
started+=($!)
"$programs/fake_fabric" --listen 127.81.1.2:7001 --map 127.81.1.2:9000=127.81.1.3:9000 &
started+=($!)
"$programs/fake_target" --listen 127.81.1.3:9000 --http 127.81.1.3:9001 --name target-1 \
    --service catalogue --service-us 100 >/dev/null &
started+=($!)
for address in 127.81.1.1:7000/v1/kv 127.81.1.2:7001/fabric/counts 127.81.1.3:9001/health; do
    curl -sf --retry 50 --retry-delay 0 --retry-connrefused -o /dev/null "http://$address"
done

report=$("$programs/fake_caller" --fabric 127.81.1.2:9000 --service catalogue --class 1 \
    --tenant 1 --rate 100 --seconds 0.5 --flow-requests 3 --request-interval-ms 5 \
    --fragments 3 --repeatable --deadline-ms 20000)
writes=()
for value in first second; do
    writes+=("$(curl -s -o /dev/null -w '%{http_code}' -X PUT 127.81.1.1:7000/v1/kv/key \
        -d "{\"value\":\"$value\",\"expected_revision\":0}")")
done

python3 - "$report" "${writes[@]}" <<'PYTHON'
import json
import sys

report = json.loads(sys.argv[1])
assert report["sent"] > 0 and report["answered"] == report["sent"], report
assert report["broken_flows"] == 0 and report["wrong_answers"] == 0, report
assert sys.argv[2:] == ["200", "409"], sys.argv[2:]
PYTHON
