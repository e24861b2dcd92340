#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/standin-3 review/standin-3/main.rs
