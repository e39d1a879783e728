#!/usr/bin/env bash
# Not one of the five cases: a planned stop while slow clients still receive large answers. Exits with
# 1 if answers were cut off, 0 if none was, 2 if it could not run; TROUBLE=0 sends no SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes ] || exit 2
timeout -k 2 115 java -Xmx256m -Dproject.root=. -cp review/target/classes \
  RunCase SlowReaders review/tried/queued-answers-record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
