#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig/main.rs
