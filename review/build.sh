#!/bin/sh
# Builds the stand-ins of all cases into review/build. Needs g++ and the header nlohmann/json.hpp
# (nlohmann-json3-dev, which deploy/packages.txt names).
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/build"
for source in "$here"/[1-3]/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -I "$here/rig" "$source" -o "$here/build/case$number" -pthread
done
