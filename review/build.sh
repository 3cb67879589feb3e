#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases. They use the standard library only, so that no network
# is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
