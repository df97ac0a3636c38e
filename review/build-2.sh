#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
