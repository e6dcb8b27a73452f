#!/usr/bin/env bash
# Builds the stand-ins that the cases start, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins.rs
