#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into review/build-3/. Needs
# g++ and the JSON headers that the deploy file names.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=$here/build-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c "$here/common-3/rig.cc" -o "$out/rig.o"
for number in 11 12 13 14 15; do
  source=$here/$number/case.cc
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out/rig.o" -o "$out/$number"
done
