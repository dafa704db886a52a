#!/usr/bin/env bash
# Runs one script case: run-case.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
binary=target/review-3/third
for program in target/godwitcartd "$binary"; do
  if [ ! -x "$program" ]; then
    echo "cannot run: $program is not built" >&2
    exit 2
  fi
done
RECORD="$folder/record.txt" PROJECT_ROOT="$PWD" timeout --kill-after=3 115 "$binary" "$2"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
