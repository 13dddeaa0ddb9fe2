#!/usr/bin/env bash
# Installs what the build, the tests and the checks need, on Debian 12.
set -euo pipefail
packages=(
  clang clang-format clang-tidy cmake ninja-build pkg-config ccache openssl git
  libtbb-dev libwebsocketpp-dev libasio-dev libboost-dev libboost-system-dev prometheus-cpp-dev
  libabsl-dev libeasyloggingpp-dev libexpected-dev libcppunit-dev libyaml-cpp-dev
  nlohmann-json3-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  libssl-dev libxxhash-dev librapidcheck-dev libclang-rt-14-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
