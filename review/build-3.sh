#!/usr/bin/env bash
# Builds the case programs of the third review and their stand-ins into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-3
mkdir -p "$output"

# Compiles each source into one folder, side by side, and links them.
build() {
  local name=$1
  shift
  local objects="$output/$name.objects"
  rm -rf "$objects"
  mkdir -p "$objects"
  local pids=()
  for source in "$@"; do
    clang++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" \
      -o "$objects/$(basename "$source" .cpp).o" &
    pids+=("$!")
  done
  for pid in "${pids[@]}"; do
    wait "$pid"
  done
  clang++ -pthread -o "$output/$name" "$objects"/*.o -lboost_system
}

earlier=review/6/standins
replication=(review/11/standins/*.cpp "$earlier"/{Client,Daemon,LineSocket,Loop,Platform}.cpp)
build case-11 review/11/Case.cpp "${replication[@]}"
build case-12 review/12/Case.cpp review/12/standins/*.cpp
build case-13 review/13/Case.cpp review/12/standins/*.cpp
build case-14 review/14/Case.cpp "${replication[@]}"
build case-15 review/15/Case.cpp review/12/standins/*.cpp
