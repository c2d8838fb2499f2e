#!/usr/bin/env bash
# Builds the stand-ins of the cases against the libraries of the deploy build. Run after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/.build
mkdir -p "$out"
flags="-std=c++20 -O1 -Iinclude -I."
libs="target/libacaciaspring_net.a target/libacaciaspring_wire.a target/libacaciaspring_base.a"
libs="$libs -luv -lh2o -lhttp_parser -lglog -ljsoncpp -lssl -lcrypto -lxxhash -lz -lpthread"
objects=""
for source in review/support/*.cc fakes/store_model.cc; do
  object="$out/$(basename "$source" .cc).o"
  g++ $flags $(pkg-config --cflags jsoncpp) -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
for source in review/*/case.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ $flags $(pkg-config --cflags jsoncpp) "$source" $objects $libs -o "$out/case-$name" &
done
wait
for source in review/*/case.cc; do
  test -x "$out/case-$(basename "$(dirname "$source")")"
done
