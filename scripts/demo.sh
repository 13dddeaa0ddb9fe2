#!/usr/bin/env bash
# Builds, starts a small deployment on loopback addresses, books a fitting slot, reads it back
# through another VM, kills the primary, books again, and stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${SKIP_BUILD:-}" ] || { scripts/install.sh && scripts/build.sh; }
source scripts/cluster.sh
trap stop_cluster EXIT

say() { printf '\n== %s\n' "$*"; }

# retry COUNT COMMAND...: repeats a command until it succeeds.
retry() {
  local count=$1
  shift
  for ((attempt = 1; attempt < count; ++attempt)); do
    "$@" >"$work/retry.log" 2>&1 && { cat "$work/retry.log"; return 0; }
    sleep 0.5
  done
  "$@"
}

say "starting the platform's stand-in, three database servers and six daemons"
start_cluster
write_schema
say "applying the schema"
retry 20 ctl schema apply "$work/schema.yaml"
say "giving a key"
key=$(ctl key give blue-lagoon demo --output=json | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p')
say "booking a fitting slot through vm-1a"
retry 20 book vm-1a --key="$key" --route=bookings --statement='INSERT slot-1 uwase' \
  --request_id=demo-1 --session="$work/session"
say "reading it back through vm-3b, in another failure domain"
book vm-3b --key="$key" --route=bookings --statement='GET slot-1' --read --request_id=demo-2 \
  --session="$work/session"
say "booking the same slot again is refused"
book vm-2a --key="$key" --route=bookings --statement='INSERT slot-1 keza' \
  --request_id=demo-3 --session="$work/session" || true
primary=$(ctl status --output=json | tr ',' '\n' | sed -n 's/.*"primary": *"\([^"]*\)".*/\1/p' | head -1)
say "killing the primary, $primary"
for index in 0 1 2; do
  if [ "${servers[index]}" = "$primary" ]; then
    kill -KILL "${pid_of[server-$index]}"
  fi
done
say "booking another slot through vm-2b, with a deadline of 10 s"
book vm-2b --key="$key" --route=bookings --statement='INSERT slot-2 keza' --request_id=demo-4 \
  --session="$work/session" --timeout_ms=10000
say "reading both through vm-1b"
book vm-1b --key="$key" --route=bookings --statement='SCAN slot-' --read --request_id=demo-5 \
  --session="$work/session" --timeout_ms=10000
say "withdrawing the key"
ctl key withdraw blue-lagoon demo
book vm-3a --key="$key" --route=bookings --statement='GET slot-1' --read --request_id=demo-6 ||
  echo "(refused, as it should be)"
say "status"
ctl status
say "done"
