#!/usr/bin/env bash
# Runs nine entries without requests and measures the cost of entry 1: processor time, resident
# memory and bytes sent to its peers per second. Also measures the processor time of the
# platform stand-in. The argument is the time of measurement in seconds.
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-20} dir=$(mktemp -d)
finish() { for p in $(cat "$dir"/*.pid); do kill -KILL "$p" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$dir"; }
trap finish EXIT
bin/standin site -dir "$dir" -extra "${EXTRA:-}"
bin/standin backend & echo $! >"$dir/backend.pid"
bin/standin platform & echo $! >"$dir/platform.pid"
for i in 1 2 3 4 5 6 7 8 9; do
  bin/greengagelane entry -settings "$dir/entry-$i.jsonc" 2>/dev/null &
  echo $! >"$dir/entry-$i.pid"
done
sleep 3
bin/greengagelane release apply -entry 127.0.0.1:7201 "$dir/release-1.jsonc" >/dev/null
sleep 2
# Processor time of a process in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# Bytes that the entry with an operator port has sent to its peers.
sent() { curl -s "http://127.0.0.1:$1/metrics" | awk '/^greengagelane_peer_sent_bytes_total/ {print $2}'; }
pid=$(cat "$dir/entry-1.pid") platform=$(cat "$dir/platform.pid")
ticks0=$(ticks "$pid") platform_ticks0=$(ticks "$platform") sent0=$(sent 7201)
sleep "$seconds"
ticks1=$(ticks "$pid") platform_ticks1=$(ticks "$platform") sent1=$(sent 7201)
hz=$(getconf CLK_TCK)
awk -v t="$((ticks1 - ticks0))" -v p="$((platform_ticks1 - platform_ticks0))" -v s="$((sent1 - sent0))" -v n="$seconds" -v hz="$hz" \
  -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" 'BEGIN {
  printf "entry: %.2f %% of a core, %.1f MB resident, %.0f bytes/s to 8 peers; platform stand-in: %.2f %% of a core\n",
    100 * t / hz / n, rss / 1024, s / n, 100 * p / hz / n }'
