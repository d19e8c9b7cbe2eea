#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
