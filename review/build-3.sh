#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They have no dependencies.
set -e
cd "$(dirname "$0")/standins-3"
cargo build --release --locked --offline
