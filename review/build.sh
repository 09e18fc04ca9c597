#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build, from the libraries that
# the deploy file names. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags="-std=c++20 -O1 -Wall -Wextra"
pids=()
for source in standins/*.cpp; do
  g++ $flags -c "$source" -o "build/$(basename "${source%.cpp}").o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in standins/case_*.cpp; do
  name=$(basename "${source%.cpp}")
  g++ "build/$name.o" build/wire.o build/deployment.o build/clients.o \
    -o "build/$name" -lsodium -lpthread
done
echo "built: $(ls build | grep -v '\.o$' | tr '\n' ' ')"
