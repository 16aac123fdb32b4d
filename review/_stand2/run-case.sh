#!/usr/bin/env bash
# Runs a case of the review with the processes of the deploy file: run-case.sh CASE FOLDER.
cd "$(dirname "$0")/../.." || exit 2
stand=target/review2/stand
if [ ! -x "$stand" ] || [ ! -x target/sycamorewall ]; then
  echo "build the program as deploy/system.toml says, and run review/build-2.sh" >&2
  exit 2
fi
timeout --signal=TERM --kill-after=5 112 "$stand" "$1" "review/$2/record.txt"
result=$?
if [ "$result" -gt 1 ]; then exit 2; fi
exit "$result"
