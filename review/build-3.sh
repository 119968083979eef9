#!/usr/bin/env bash
# Builds the stand-ins of the third review; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -A dead_code --edition 2024 -O -o target/review-3/standin review/standin-3/src/main.rs
