#!/usr/bin/env bash
# Not one of the five cases: a path and a query with bytes beyond ASCII. Exits with 1 if the replica
# got other bytes, 0 if it got the same, 2 if it could not run; TROUBLE=0 sends them percent-encoded.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes ] || exit 2
timeout -k 2 115 java -Xmx256m -Dproject.root=. -cp review/target/classes \
  RunCase RawTarget review/tried/raw-target-record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
