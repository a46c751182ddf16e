#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/build-3/$(basename "$here")
[ -x "$program" ] && [ -x "$root/target/dogwoodrail" ] || exit 2
rm -f "$here/record.txt"
cd "$root" || exit 2
exec "$program" "$root" "$here/record.txt"
