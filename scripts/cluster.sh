# Functions that start a small deployment on loopback addresses: the platform's stand-in, one
# database of three servers, and six daemons in three failure domains. Meant to be sourced.
# BUILD_DIR names the build folder. All processes are ended by stop_cluster, by their ids.

build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
platform=127.0.9.1:7000
servers=(127.0.1.10:7100 127.0.2.10:7100 127.0.3.10:7100)
vms=(vm-1a vm-1b vm-2a vm-2b vm-3a vm-3b)
declare -A pid_of

# start NAME COMMAND...: runs a process in the background with its log in $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

stop_cluster() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  [ -n "${KEEP_LOGS:-}" ] || rm -rf "$work"
}

# address_of VM PORT: vm-2b is 127.0.2.2.
address_of() {
  local domain=${1:3:1} letter=${1:4:1} host=1
  [ "$letter" = b ] && host=2
  echo "127.0.$domain.$host:$2"
}

write_settings() {
  local vm=$1
  {
    echo "vm: $vm"
    echo "failure_domain: fd-${vm:3:1}"
    echo "caller_address: \"$(address_of "$vm" 6000)\""
    echo "operator_address: \"$(address_of "$vm" 6001)\""
    echo "peer_address: \"$(address_of "$vm" 6002)\""
    echo "metrics_address: \"$(address_of "$vm" 6003)\""
    echo "platform_address: \"$platform\""
    echo "peers:"
    for peer in "${vms[@]}"; do
      [ "$peer" = "$vm" ] && continue
      echo "  - {vm: $peer, address: \"$(address_of "$peer" 6002)\", failure_domain: fd-${peer:3:1}}"
    done
  } >"$work/$vm.yaml"
}

write_schema() {
  {
    echo "organisations:"
    echo "  - {name: blue-lagoon, rate: 200, burst: 400, weight: 1}"
    echo "databases:"
    echo "  - name: boutiques"
    echo "    slots: 3"
    echo "    connection_limit: 24"
    echo "    servers:"
    for index in 0 1 2; do
      echo "      - {address: \"${servers[index]}\", failure_domain: fd-$((index + 1))}"
    done
    echo "routes:"
    echo "  - {name: bookings, organisation: blue-lagoon, database: boutiques, freshness: 2s}"
    echo "  - {name: opening-hours, public: true, database: boutiques, freshness: 10s}"
  } >"$work/schema.yaml"
}

start_vm() {
  write_settings "$1"
  start "$1" "$build/packages/daemon/mustardshiftd" --settings="$work/$1.yaml"
}

start_server() {
  local index=$1 others=()
  for other in "${servers[@]}"; do
    [ "$other" = "${servers[index]}" ] || others+=("$other")
  done
  start "server-$index" "$build/tests/standins/standin_database" --listen="${servers[index]}" \
    --peers="$(IFS=,; echo "${others[*]}")" --lag_ms="${LAG_MS:-5}" --connection_limit=24 \
    --initial_primary="${servers[0]}"
}

start_cluster() {
  start platform "$build/tests/standins/standin_platform" --listen="$platform"
  for index in 0 1 2; do
    start_server "$index"
  done
  sleep 0.3
  for vm in "${vms[@]}"; do
    start_vm "$vm"
  done
}

ctl() {
  "$build/packages/ctl/mustardshiftctl" --vm="$(address_of "${CTL_VM:-vm-1a}" 6001)" "$@"
}

# book VM ARGUMENTS...: sends one statement through a VM.
book() {
  local vm=$1
  shift
  "$build/examples/booking_client" --vm="$(address_of "$vm" 6000)" "$@"
}
