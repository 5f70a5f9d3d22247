#!/bin/sh
# Builds the stand-ins of each case into review/N/build. Needs g++ and the header nlohmann/json.hpp
# (nlohmann-json3-dev, which deploy/packages.txt names).
set -eu
here=$(cd "$(dirname "$0")" && pwd)
for folder in "$here"/[1-3]; do
  [ -f "$folder/case.cpp" ] || continue
  mkdir -p "$folder/build"
  ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -I "$here" "$folder/case.cpp" -o "$folder/build/case" -pthread
done
