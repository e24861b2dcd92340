#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases start. They use only the standard
# library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/tools/main.rs
