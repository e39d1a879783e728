#!/usr/bin/env bash
# Checks with Spin claims.pml, the model of claims and of the accepted configuration, and relay.pml,
# the model of the promise of not having run.
# Prints the number of states of each run. Fails if an assertion of the model is violated, or if a
# variant with a deliberate fault violates none.
set -euo pipefail
directory="$(cd "$(dirname "$0")" && pwd)"

if ! command -v spin >/dev/null 2>&1; then
  if [ "$(id -u)" -eq 0 ] && command -v apt-get >/dev/null 2>&1; then
    apt-get update -qq && apt-get install -y -qq spin
  else
    echo "spin is not installed: install the package spin as root" >&2
    exit 1
  fi
fi

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cd "$work"
failures=0

# Usage: explore NAME EXPECTED DEFINES..., where EXPECTED is holds or broken. The variable model is
# the file.
explore() {
  local name="$1" expected="$2" output states errors
  shift 2
  spin -a "$@" "$model" >spin.out
  gcc -O2 -w -DSAFETY -DNOCLAIM -DMEMLIM=1900 -o pan pan.c
  # -E: don't report states without a next step as errors, since any message may be lost.
  output="$(./pan -m200000 -E 2>&1)"
  states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output")"
  errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$output")"
  if grep -qE 'out of memory|max search depth too small|Search not completed' <<<"$output" \
      && [ "$errors" = 0 ]; then
    errors="incomplete"
  fi
  case "$expected:$errors" in
    holds:0) result="holds" ;;
    broken:[1-9]*) result="caught: $(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' <<<"$output")" ;;
    *)
      result="FAILED: expected $expected, errors: ${errors:-none reported}"
      failures=$((failures + 1))
      ;;
  esac
  printf '%-34s %9s states  %s\n' "$name" "${states:-0}" "$result"
}

model="$directory/claims.pml"
explore "claims, 3 attempts, 1 fault" holds -DATTEMPTS=3 -DFAULTS=1
explore "claims, 2 attempts, 3 faults" holds -DATTEMPTS=2 -DFAULTS=3 -DEXPIRY
explore "issued key, 2 faults" holds -DATTEMPTS=3 -DFAULTS=2 -DISSUED
explore "configuration" holds -DCONFIGURATION
explore "confirmation without uptime" broken -DATTEMPTS=3 -DFAULTS=1 -DBROKEN_CONFIRM
explore "not run, claim not renounced" broken -DATTEMPTS=3 -DFAULTS=1 -DBROKEN_NOT_RUN
explore "lower version accepted" broken -DCONFIGURATION -DBROKEN_CONFIGURATION
explore "late grant to earlier attempt" broken -DATTEMPTS=3 -DFAULTS=1 -DBROKEN_LATE_GRANT
explore "entries dropped too early" broken -DATTEMPTS=3 -DFAULTS=1 -DBROKEN_DROP

model="$directory/relay.pml"
explore "promise of not having run" holds
explore "503 at the end of a process" broken -DBROKEN_SHUTDOWN
explore "broken connection taken as proof" broken -DBROKEN_UNPROVEN

exit "$((failures > 0))"
