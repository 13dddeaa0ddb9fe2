#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
objects=()
pids=()
for source in standin/*.cpp; do
  object=bin/$(basename "$source" .cpp).o
  clang++ -std=c++20 -O1 -pthread -c "$source" -o "$object" &
  pids+=("$!")
  objects+=("$object")
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in cases/*.cpp; do
  clang++ -std=c++20 -O1 -pthread "$source" "${objects[@]}" -o "bin/$(basename "$source" .cpp)"
done
