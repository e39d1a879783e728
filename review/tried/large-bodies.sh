#!/usr/bin/env bash
# Not one of the five cases: 60 uploads of 4 MB at once, beside small requests. Exits with 1 if most
# of the small requests that were due had no answer, 0 if not, 2 if it could not run; TROUBLE=0 has two.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes ] || exit 2
timeout -k 2 115 java -Xmx256m -Dproject.root=. -cp review/target/classes \
  RunCase LargeBodies review/tried/large-bodies-record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
