#!/bin/sh
# Runs case 9; see claim.txt. TROUBLE=0: without the disruption. Exit status 1: the rule was broken; 0: it held;
# 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$here/build/case"
if [ ! -x "$program" ]; then
  echo "review/build-2.sh has not been run" >&2
  exit 2
fi
cd "$root" || exit 2
GRADEMUX_ROOT="$root" timeout -k 2 115 "$program" "$here"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
