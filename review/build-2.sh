#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up, after the build of the deploy file. Needs no network: the
# package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
