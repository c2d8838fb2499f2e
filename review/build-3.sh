#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up. They need the C++ library only. Run after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -g -Wall -Wextra -I."
jobs=()
objects=""
for source in review/support-3/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  g++ $flags -c "$source" -o "$object" &
  jobs+=($!)
  objects="$objects $object"
done
for job in "${jobs[@]}"; do
  wait "$job"
done
jobs=()
for number in 11 12 13 14 15; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ $flags "$source" $objects -lpthread -o "$out/case-$number" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
