#!/usr/bin/env bash
# Measures the resource use of daemons that get no requests: CPU time, resident memory, bytes from peers.
# For each fleet size, starts the daemons, the fake upstreams and the fake platform as processes on
# loopback, and stops them by process id.
# Usage: proof/capacity/control-cost.sh [seconds] [sizes...]
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds="${1:-15}"
shift || true
sizes=("${@:-}")
[ -n "${sizes[0]}" ] || sizes=(2 4 7 12)
work="$(mktemp -d)"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
export PERSIMMONREEL_FLEET_SECRET="capacity-measurement-secret-00000000"
export PERSIMMONREEL_JAVA_OPTIONS="-Xmx256m -XX:+UseSerialGC"
# In the first minute, most of the CPU time goes to the just-in-time compiler.
warm_up_seconds="${WARM_UP_SECONDS:-60}"
ticks_per_second="$(getconf CLK_TCK)"
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_megabytes() { awk '/VmRSS/ {print $2 / 1024}' "/proc/$1/status"; }
bytes_from_peers() { curl -s "http://127.0.0.1:$1/v1/state" | sed 's/.*"peerBytesReceived":\([0-9]*\).*/\1/'; }
printf '%8s %18s %12s %16s\n' daemons 'core share each' 'memory MB' 'peer bytes/s'
for size in "${sizes[@]}"; do
  hosts=""
  for slot in $(seq 1 "$size"); do
    hosts="$hosts${hosts:+,}$slot=127.0.0.1:$((21000 + slot))@lahore"
  done
  bin/persimmonreel fakes examples/saaf-paws.yaml --free-ports --platform-port 20999 \
    --hosts "$hosts" >"$work/fakes.log" 2>&1 &
  pids+=($!)
  until grep -q 'fakes: ready' "$work/fakes.log"; do sleep 0.2; done
  daemons=()
  for slot in $(seq 1 "$size"); do
    bin/persimmonreel daemon --slot "$slot" --zone lahore --platform-address 127.0.0.1:20999 \
      --caller-address "127.0.0.1:$((22000 + slot))" --peer-address "127.0.0.1:$((21000 + slot))" \
      --operator-address "127.0.0.1:$((23000 + slot))" >"$work/daemon-$slot.log" 2>&1 &
    pids+=($!)
    daemons+=($!)
  done
  sleep "$warm_up_seconds"
  # Reading the state uses CPU time itself, so it is done outside the measured interval.
  bytes=0
  for slot in $(seq 1 "$size"); do
    bytes=$((bytes - $(bytes_from_peers $((23000 + slot)))))
  done
  sleep 5
  before=0
  for pid in "${daemons[@]}"; do before=$((before + $(cpu_ticks "$pid"))); done
  sleep "$seconds"
  after=0
  memory=0
  for pid in "${daemons[@]}"; do
    after=$((after + $(cpu_ticks "$pid")))
    memory="$(awk -v a="$memory" -v b="$(resident_megabytes "$pid")" 'BEGIN {print a + b}')"
  done
  for slot in $(seq 1 "$size"); do
    bytes=$((bytes + $(bytes_from_peers $((23000 + slot)))))
  done
  awk -v n="$size" -v t=$((after - before)) -v hz="$ticks_per_second" -v s="$seconds" \
    -v m="$memory" -v b="$bytes" \
    'BEGIN {printf "%8d %17.2f%% %12.0f %16.0f\n", n, 100 * t / hz / s / n, m / n, b / (s + 5) / n}'
  stop_all
done
