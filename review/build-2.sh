#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up against the libraries of the deploy build. Run after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Iinclude -I."
libs="target/libacaciaspring_net.a target/libacaciaspring_wire.a target/libacaciaspring_base.a"
libs="$libs -luv -lh2o -lhttp_parser -lglog -ljsoncpp -lssl -lcrypto -lxxhash -lz -lpthread"
sources="review/support-2/harness.cc platform/soak/tcp_proxy.cc fakes/fake_store.cc fakes/store_model.cc
  fakes/fake_http_server.cc fakes/fault_switches.cc fakes/json_text.cc fakes/close_connection.cc"
objects=""
jobs=()
for source in $sources; do
  object="$out/$(basename "$source" .cc).o"
  g++ $flags $(pkg-config --cflags jsoncpp) -c "$source" -o "$object" &
  jobs+=($!)
  objects="$objects $object"
done
for job in "${jobs[@]}"; do
  wait "$job"
done
jobs=()
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ $flags $(pkg-config --cflags jsoncpp) "$source" $objects $libs -o "$out/case-$number" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
