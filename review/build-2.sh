#!/bin/bash
# Builds the stand-ins of cases 4 to 8. Needs only the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2.rs
