#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the compiler alone; they need no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case.new review/standins/main.rs
mv target/review/case.new target/review/case
