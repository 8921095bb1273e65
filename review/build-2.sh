#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library only, so nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
