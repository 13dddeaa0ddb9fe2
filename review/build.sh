#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program for each, review/N/case.
set -euo pipefail
cd "$(dirname "$0")"
objects=$(mktemp -d)
trap 'rm -rf "$objects"' EXIT
pids=()
for source in *.cpp; do
  clang++ -std=c++20 -O1 -pthread -c "$source" -o "$objects/${source%.cpp}.o" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in [1-5]; do
  clang++ -std=c++20 -O1 -pthread "$case"/*.cpp "$objects"/*.o -o "$case/case"
done
