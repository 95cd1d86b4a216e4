#!/usr/bin/env bash
# Runs a case five times with its disruption and once without: repeat.sh N
cd "$(dirname "$0")/.."
failed=0
for i in 1 2 3 4 5; do
    "$1/run.sh" >/dev/null; status=$?
    [ $status = 1 ] && failed=$((failed + 1))
    echo "case $1, run $i: exit $status, $(tail -n 1 "$1/record.txt")"
done
cp "$1/record.txt" "/tmp/record-$1-$$"
TROUBLE=0 "$1/run.sh" >/dev/null; echo "case $1, TROUBLE=0: exit $?, $(tail -n 1 "$1/record.txt")"
mv "/tmp/record-$1-$$" "$1/record.txt"
echo "case $1: failed $failed of 5"
