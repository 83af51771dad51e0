#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build, with the compiler and the JSON library that the
# program needs too. Run after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standin/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/$name" "$source"
done
