#!/usr/bin/env bash
# Runs the case of a folder: run_case.sh FOLDER. Starts the stand-ins, then one process for each VM with
# the command of the deploy file and settings made from its template, and ends them all.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
standin=$folder/case
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
template=$(sed -n 's/^template = "\(.*\)"$/\1/p' deploy/system.toml)
daemon=${command%% *}
if [ ! -x "$standin" ] || [ ! -x "$daemon" ] || [ ! -f "$template" ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh"
  exit 2
fi
work=$(mktemp -d)
case_pid=
supervisors=()
finish() {
  touch "$work/stop"
  # timeout(1) passes SIGTERM on to the stand-in.
  [ -n "$case_pid" ] && kill -TERM "$case_pid" 2>/dev/null
  for pid in "${supervisors[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for file in "$work"/*.pid; do
    [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

# Runs the process of a VM, and again after a short delay when it has ended.
supervise() {
  while [ ! -f "$work/stop" ]; do
    # shellcheck disable=SC2086 # the command is split at spaces
    ${command//\/etc\/mustardshift\/settings.toml/$work/$1.yaml} >>"$work/$1.log" 2>&1 &
    echo "$!" >"$work/$1.pid"
    wait "$!"
    echo "$(date +%s%3N) process ended with code $?" >>"$work/$1.log"
    sleep 0.5
  done
}

# A case ends by itself well before this.
timeout -k 1 110 "$standin" "$work" "$folder/record.txt" "${TROUBLE:-1}" &
case_pid=$!
for _ in $(seq 100); do
  [ -f "$work/settings-written" ] && break
  sleep 0.05
done
for script in "$work"/*.sed; do
  vm=$(basename "$script" .sed)
  sed -f "$script" "$template" >"$work/$vm.yaml" || exit 2
  if grep -q '{{' "$work/$vm.yaml"; then
    echo "a placeholder of $template is unknown to the case"
    exit 2
  fi
  supervise "$vm" &
  supervisors+=("$!")
  disown "$!"
done
sleep 0.3
touch "$work/processes-started"

wait "$case_pid"
status=$?
case_pid=
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS"/; fi
if [ "$status" -gt 1 ]; then
  status=2
  tail -n 3 "$work"/*.log
fi
exit "$status"
