#!/bin/sh
# Builds the stand-ins of the cases of this review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/harness review/harness-3/main.rs
