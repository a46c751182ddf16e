#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/. Needs
# the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
parts=(http partition platform kept_callers)

objects=()
for it in "${parts[@]}"; do objects+=("$out/$it.o"); done

jobs=()
wait_all() {
  for it in "${jobs[@]}"; do wait "$it"; done
  jobs=()
}
for it in "${parts[@]}"; do
  g++ "${flags[@]}" -c "review/common/$it.cc" -o "$out/$it.o" &
  jobs+=($!)
done
wait_all
for it in review/[1-5]/case.cc; do
  n=$(basename "$(dirname "$it")")
  g++ "${flags[@]}" "$it" "${objects[@]}" -o "$out/case$n" &
  jobs+=($!)
done
wait_all
