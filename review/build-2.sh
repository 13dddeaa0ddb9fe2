#!/usr/bin/env bash
# Builds the case programs of the second review and their stand-ins into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-2
mkdir -p "$output"
flags=(-std=c++20 -O1 -Wall -Wextra)
build() {
  local source=$1
  local object
  object="$output/$(basename "$source" .cpp).o"
  clang++ "${flags[@]}" -c "$source" -o "$object"
}
pids=()
for source in review/6/standins/*.cpp review/[6-9]/*.cpp review/10/*.cpp; do
  [ -e "$source" ] || continue
  build "$source" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
standins=()
for source in review/6/standins/*.cpp; do
  standins+=("$output/$(basename "$source" .cpp).o")
done
for source in review/[6-9]/*.cpp review/10/*.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cpp)
  clang++ "$output/$name.o" "${standins[@]}" -lboost_system -lpthread -o "$output/$name"
done
