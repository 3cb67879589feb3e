#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER PROGRAM. Exit code 1: the rule was broken, 0: it held,
# 2: the case could not run.
set -u
cd "$(dirname "$0")/.."
program="target/review/release/$2"
for file in target/release/mimosagapd "$program"; do
  [ -x "$file" ] || { echo "$file is missing: run the build line of deploy/system.toml and review/build.sh"; exit 2; }
done
"$program" "$1"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
