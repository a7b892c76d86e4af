#!/bin/bash
# Builds the stand-ins of the second review's scripts, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/harness-2/main.rs
