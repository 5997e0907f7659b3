#!/usr/bin/env bash
# Runs a site on loopback, with each entry and stand-in in its own process. Sends the load
# of a plan through the entries, injects faults and checks the promises P1 to P8.
#   SITE=institute|zelena  SEED=n  FAULTS=a,b  SECONDS_LOAD=n  EXTRA='{"setting": value}'
# EXTRA overrides settings of every entry.
# Faults: entry-kill entry-freeze entry-stop log-outage log-lost-answer
#   silent-connections backend-kill backend-fails-all operator-race centre-loss
# A run that breaks a promise keeps its working directory with the logs; KEEP=1 keeps it always.
# ONLY=n sends through n entries only. TRACE=file and TIMELINE=file write a trace and a timeline.
set -u
cd "$(dirname "$0")/.."
site=${SITE:-institute} seed=${SEED:-1} faults=",${FAULTS:-}," load=${SECONDS_LOAD:-30} extra=${EXTRA:-}
dir=$(mktemp -d)
standin=bin/standin program=bin/greengagelane
operator_address=127.0.0.1:7201 # of entry 1, which no fault restarts

finish() {
  for p in $(cat "$dir"/*.pid); do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ] || [ "${code:-1}" -ne 0 ]; then echo "kept $dir"; else rm -rf "$dir"; fi
}
trap finish EXIT
trap 'exit 130' INT TERM PIPE

now_us() { date +%s%6N; }
has_fault() { [[ $faults == *",$1,"* ]]; }
post_fault() { curl -s -X POST "$1/faults" -d "$2" >/dev/null; }
start_entry() { "$program" entry -settings "$dir/entry-$1.jsonc" >>"$dir/entry-$1.log" 2>&1 & echo "$!" >"$dir/entry-$1.pid"; }
pid_of() { cat "$dir/entry-$1.pid"; }
centre_of() { sed -n 's/.*"data-centre": "\(.*\)".*/\1/p' "$dir/entry-$1.jsonc"; }
caller_of() { echo "127.0.0.1:$((7100 + $1))"; }
# cli COMMAND SUBCOMMAND ARGUMENT... runs a command at entry 1.
cli() { local command=$1 subcommand=$2; shift 2; "$program" "$command" "$subcommand" -entry "$operator_address" "$@"; }

"$standin" site -site "$site" -seed "$seed" -seconds "$load" -dir "$dir" -extra "$extra" || exit 1
"$standin" backend & echo "$!" >"$dir/backend.pid"
"$standin" platform & echo "$!" >"$dir/platform.pid"
"$standin" older & echo "$!" >"$dir/older.pid"
for i in 1 2 3 4 5 6 7 8 9; do start_entry "$i"; done
: >"$dir/faults"
for _ in $(seq 100); do curl -sf "http://$operator_address/ready" >/dev/null && break; sleep 0.1; done
for _ in $(seq 50); do cli release apply "$dir/release-1.jsonc" >"$dir/release-1.log" 2>&1 && break; sleep 0.2; done
sleep 1

# Applies the second release, moves a VM to the pool of the first service, starts a
# maintenance wave and, with operator-race, sends conflicting commands at the same time.
run_operators() {
  sleep 3
  cli release apply "$dir/release-2.jsonc"
  cli pool move vm-41 "$(sed -n 's/.*"service": "\(.*\)",/\1/p' "$dir/plan.json" | head -1)"
  cli wave start december
  if has_fault operator-race; then
    cli release apply "$dir/release-2.jsonc" &
    cli pool move vm-31 "$(sed -n 's/.*"service": "\(.*\)",/\1/p' "$dir/plan.json" | sed -n 2p)" &
    cli pool move vm-31 "$(sed -n 's/.*"service": "\(.*\)",/\1/p' "$dir/plan.json" | sed -n 3p)" &
    wait
  fi
}

# Injects the faults named in FAULTS at fixed times. Writes a line "kind entry begin end" to
# $dir/faults for each fault of an entry; the checks read them. A killed entry is started again
# after 1 s (entry-kill) or 6 s (centre-loss); the recorded end is 2 s later,
# which allows for its start.
inject_faults() {
  local at
  sleep 5
  post_fault http://127.0.0.1:7001 '{"vm":"vm-45","mode":"leaving"}'
  has_fault backend-fails-all && post_fault http://127.0.0.1:7001 '{"vm":"vm-05","mode":"fail-all"}'
  has_fault silent-connections && post_fault http://127.0.0.1:7001 '{"mode":"silent"}'
  has_fault log-lost-answer && post_fault http://127.0.0.1:7000 '{"lose-answer":3}'
  sleep 2
  if has_fault entry-kill; then
    at=$(now_us); kill -KILL "$(pid_of 3)"; echo "kill $(caller_of 3) $at $((at + 3000000))" >>"$dir/faults"
    sleep 1; start_entry 3
  fi
  if has_fault entry-freeze; then
    at=$(now_us); kill -STOP "$(pid_of 4)"
    sleep 5; kill -CONT "$(pid_of 4)"; echo "freeze $(caller_of 4) $at $(now_us)" >>"$dir/faults"
  fi
  has_fault backend-kill && post_fault http://127.0.0.1:7001 '{"vm":"vm-15","mode":"kill"}'
  has_fault backend-kill && { sleep 4; post_fault http://127.0.0.1:7001 '{"vm":"vm-15","mode":"start"}'; }
  if has_fault centre-loss; then
    # Kills entries 3, 6 and 9 and all VMs of the data centre of entry 3. The three entries are
    # in one data centre only if the site has three data centres.
    local vms vm
    vms=$("$program" status -entry "$operator_address" -json | awk -F'"' '/"name":/ {n = $4} /"data-centre": "'"$(centre_of 3)"'"/ {print n}' | grep '^vm-')
    at=$(now_us)
    for i in 3 6 9; do kill -KILL "$(pid_of $i)"; echo "kill $(caller_of $i) $at $((at + 8000000))" >>"$dir/faults"; done
    for vm in $vms; do post_fault http://127.0.0.1:7001 "{\"vm\":\"$vm\",\"mode\":\"kill\"}"; done
    sleep 6
    # vm-45 was leaving, so it is not started again.
    for vm in $vms; do [ "$vm" = vm-45 ] || post_fault http://127.0.0.1:7001 "{\"vm\":\"$vm\",\"mode\":\"start\"}"; done
    for i in 3 6 9; do start_entry $i; done
  fi
  if has_fault entry-stop; then
    at=$(now_us); kill -TERM "$(pid_of 5)"; echo "stop $(caller_of 5) $at 0" >>"$dir/faults"
  fi
  if has_fault log-outage; then
    post_fault http://127.0.0.1:7000 '{"outage":true}'; sleep 6; post_fault http://127.0.0.1:7000 '{"outage":false}'
  fi
}

run_operators >"$dir/operators.log" 2>&1 & operators=$!
inject_faults >"$dir/inject-faults.log" 2>&1 & injector=$!
"$standin" callers -plan "$dir/plan.json" -faults "$dir/faults" -record "$dir/record.json" -only "${ONLY:-0}"
code=$?
# Cost per request of the entries that no fault but centre-loss concerns. That restarts 6 and 9,
# whose cost and requests then count from the restart.
cpu=$(for i in 1 2 6 7 8 9; do awk '{print $14 + $15}' "/proc/$(pid_of "$i")/stat"; done | awk '{t += $1} END {print t}')
served=$(for i in 1 2 6 7 8 9; do curl -s "http://127.0.0.1:$((7200 + i))/metrics" | awk '/^greengagelane_requests_total/ {n += $2} END {print n + 0}'; done | awk '{t += $1} END {print t}')
awk -v c="$cpu" -v n="$served" -v hz="$(getconf CLK_TCK)" -v rss="$(awk '/VmHWM/ {print $2}' "/proc/$(pid_of 1)/status")" \
  'BEGIN { if (n > 0) printf "entries: %.0f us of processor time a request, %.1f MB resident at most\n", c / hz / n * 1e6, rss / 1024 }'
wait "$operators" "$injector" 2>/dev/null
[ -n "${TRACE:-}" ] && "$program" trace record -platform http://127.0.0.1:7000 >"$TRACE"
[ -n "${TIMELINE:-}" ] && "$program" timeline -entry "$operator_address" -html "$TIMELINE"
cat "$dir/operators.log"
exit "$code"
