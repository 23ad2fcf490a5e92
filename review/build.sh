#!/usr/bin/env bash
# Builds the stand-ins of all scripts; the program under test comes from the deploy file.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
