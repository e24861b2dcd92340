#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, one program a case, into
# target/review-2/. Uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    [ -f "review/$n/case.rs" ] || continue
    rustc --edition 2024 -O -A warnings -o "target/review-2/case-$n" "review/$n/case.rs"
done
