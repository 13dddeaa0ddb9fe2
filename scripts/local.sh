#!/usr/bin/env bash
# Runs the stand-ins and one daemon with examples/local/vm.yaml until Ctrl-C or SIGTERM, and ends
# them by their ids. BUILD_DIR names the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
platform=127.0.60.1:7000
servers=(127.0.61.10:7100 127.0.62.10:7100 127.0.63.10:7100)
pids=()
stop() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 0' INT TERM

"$build/tests/standins/standin_platform" --listen="$platform" &
pids+=("$!")
for server in "${servers[@]}"; do
  others=()
  for other in "${servers[@]}"; do
    [ "$other" = "$server" ] || others+=("$other")
  done
  "$build/tests/standins/standin_database" --listen="$server" --lag_ms=5 --connection_limit=20 \
    --peers="$(IFS=,; echo "${others[*]}")" --initial_primary="${servers[0]}" &
  pids+=("$!")
done
"$build/packages/daemon/mustardshiftd" --settings=examples/local/vm.yaml &
pids+=("$!")
wait
