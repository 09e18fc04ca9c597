#!/usr/bin/env bash
# Builds the programs of the cases from 6 on into target/review-2. They need the
# packages of the deploy file and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  "${CXX:-g++}" -std=c++20 -O1 -pthread -c -o "$out/$1.o" "review/standins-2/$1.cpp"
}
compile http
compile world
for source in review/standins-2/*.cpp; do
  case="$(basename "$source" .cpp)"
  [ "$case" != http ] && [ "$case" != world ] || continue
  compile "$case"
  "${CXX:-g++}" -pthread -o "$out/$case" "$out/http.o" "$out/world.o" "$out/$case.o" -lcrypto
done
