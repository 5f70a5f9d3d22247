#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (the second review) into review/N/build, after the build of the deploy
# file.
set -e
here=$(cd "$(dirname "$0")" && pwd)
for number in 6 7 8 9 10; do
  mkdir -p "$here/$number/build"
  ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I"$here" "$here/$number/case.cpp" \
    -o "$here/$number/build/case"
done
