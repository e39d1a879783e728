#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes ] || exit 2
timeout -k 2 115 java -Xmx256m -Dproject.root=. -cp review/target/classes \
  RunCase FreezeHang review/3/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
