#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, one program a case, into target/review/. The daemons themselves are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.cpp; do
  number=$(basename "$(dirname "$main")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/case-$number" "$main" -pthread
done
