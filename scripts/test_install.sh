#!/usr/bin/env bash
# Installs the build into a temporary folder, builds examples/embed_core against it and compares
# what it prints. Guards against headers, libraries or dependencies that only the source tree
# provides. Ends with the line of counts that scripts/test.sh sums.
set -euo pipefail
cd "$(dirname "$0")/.."
source=$PWD
build=${BUILD_DIR:-build}
work=$(mktemp -d)

finish() {
  local status=$?
  rm -rf "$work"
  if [ "$status" -eq 0 ]; then
    echo "tests: 1 passed, 0 failed, 0 skipped"
  else
    echo "install_test FAILED at: $step"
    echo "tests: 0 passed, 1 failed, 0 skipped"
  fi
}
trap finish EXIT

fail() {
  echo "$*"
  exit 1
}

# run LOG COMMAND...: shows the log only when the command fails.
run() {
  local log=$work/$1
  shift
  "$@" >"$log" 2>&1 || { cat "$log"; return 1; }
}

prefix=$work/prefix
step="cmake --install"
run install.log cmake --install "$build" --prefix "$prefix"

step="running the installed programs"
run ctl.log "$prefix/bin/mustardshiftctl" --help
run daemon.log "$prefix/bin/mustardshiftd" --settings=examples/vm.yaml --check

step="looking for paths of the source tree in the package config"
config=$(find "$prefix" -type d -path '*/cmake/mustardshift')
[ -f "$config/mustardshiftConfig.cmake" ] || fail "no package config is installed"
if grep -rnF -e "$source" "$config"; then
  fail "the package config refers to the source tree"
fi

# The sources are copied, so that no relative path leads back to the source tree.
cp -r examples/embed_core "$work/embed_core"
step="configuring examples/embed_core"
run configure.log cmake -S "$work/embed_core" -B "$work/build" -DCMAKE_PREFIX_PATH="$prefix" \
  -DCMAKE_CXX_COMPILER="${CXX:-clang++}" -DCMAKE_BUILD_TYPE=Release
step="building examples/embed_core"
run build.log cmake --build "$work/build"
step="running examples/embed_core"
"$work/build/embed_core" >"$work/output.txt"
step="comparing the output of examples/embed_core"
# How much is borrowed depends on tuned constants, so its size is left out; the sums are not.
sed -E -e 's/(asks vm-2 for|is lent) [0-9]+%/\1 N%/g' -e '/^shares during/s/(vm-[12]) [0-9]+%/\1 N%/g' \
  -e '/^shares after/s/(vm-2|sum) [0-9]+%/\1 N%/g' -e 's/(^vm-1, .*): [0-9]+ of/\1: N of/' \
  "$work/output.txt" | diff "$source/examples/embed_core/expected_output.txt" -
# Instead: something is borrowed, it raises the admissions, and the parts never exceed the whole.
awk '
  /^vm-1 asks/ { lent = $NF + 0 }
  /^vm-1, with/ { before = $(NF - 4) }
  /^vm-1, during/ { during = $(NF - 4) }
  /^shares after/ { rest = $NF + 0 }
  END { exit !(lent > 0 && during > before && before >= 50 && rest == 100 - lent) }
' "$work/output.txt" || { cat "$work/output.txt"; fail "the figures of the loan do not fit together"; }

step="comparing the umbrella header with the installed headers"
include=$prefix/include/mustardshift
echo '#include "core/mustardshift_core.h"' >"$work/umbrella.cpp"
"${CXX:-clang++}" -std=c++20 -I "$include" -MM "$work/umbrella.cpp" | tr -s ' \\' '\n' |
  grep -F "$include/" | sort >"$work/reached.txt"
find "$include" -name '*.h' | sort >"$work/installed.txt"
diff "$work/installed.txt" "$work/reached.txt"
if grep -F /tests/ "$work/installed.txt"; then
  fail "headers of tests are installed"
fi

step="asking for a component that does not exist"
mkdir "$work/wrong"
cat >"$work/wrong/CMakeLists.txt" <<'WRONG'
cmake_minimum_required(VERSION 3.25)
project(wrong LANGUAGES CXX)
find_package(mustardshift REQUIRED COMPONENTS core kernel)
WRONG
if cmake -S "$work/wrong" -B "$work/wrong/build" -DCMAKE_PREFIX_PATH="$prefix" \
  -DCMAKE_CXX_COMPILER="${CXX:-clang++}" >"$work/wrong.log" 2>&1; then
  fail "find_package accepted a component that does not exist"
fi
tr -s '\n ' ' ' <"$work/wrong.log" | grep -qF 'has no component "kernel"; its components are: core' ||
  { cat "$work/wrong.log"; fail "the error does not name the component"; }
step="none"
