#!/usr/bin/env bash
# Installs, builds and runs all tests. Ends with the line "N passed, N failed, N skipped", where
# skipped are the tests that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
build=${BUILD_DIR:-build}
log="$build/tests.log"
status=0
ctest --test-dir "$build" -j "${TEST_JOBS:-3}" --verbose >"$log" 2>&1 || status=$?
grep -E 'FAILED|known red|in: |precondition failed|\*\*\*' "$log" || true
[ "$status" -eq 0 ] || tail -n 60 "$log"
counts=$(grep -oE 'tests: [0-9]+ passed, [0-9]+ failed, [0-9]+ skipped' "$log" || true)
passed=$(awk '{n += $2} END {print n + 0}' <<<"$counts")
failed=$(awk '{n += $4} END {print n + 0}' <<<"$counts")
skipped=$(awk '{n += $6} END {print n + 0}' <<<"$counts")
# A program that crashed printed no counts, but still is a failure.
if [ "$status" -ne 0 ] && [ "$failed" -eq 0 ]; then
  failed=1
fi
echo "$passed passed, $failed failed, $skipped skipped"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
