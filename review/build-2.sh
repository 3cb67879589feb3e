#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline --target-dir ../../target/review-2
