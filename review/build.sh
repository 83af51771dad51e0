#!/usr/bin/env bash
# Builds every stand-in that a case starts. The review's own go into review/build, with the compiler and the JSON library
# that the program needs too. The project's own (valekeel box) is part of the program, so that is brought up to date by the
# deploy file's build line, which has nothing to do after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
command=$(sed -n 's/^build = "\([^"]*\)".*/\1/p' ../deploy/balancer.toml)
[ -n "$command" ] || { echo "the deploy file names no build" >&2; exit 1; }
(cd .. && bash -euo pipefail -c "$command")
../build/src/valekeel box --help > /dev/null
mkdir -p build
for source in standin/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/$name" "$source"
done
