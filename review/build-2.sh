#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (the second review), after the build of the deploy file.
set -e
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/rig-2/build"
for number in 6 7 8 9 10; do
  [ -f "$here/$number/case.cpp" ] || continue
  ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I"$here/rig-2" "$here/$number/case.cpp" \
    -o "$here/rig-2/build/case-$number"
done
