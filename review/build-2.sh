#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs no network: they have no dependencies.
cd "$(dirname "$0")/standins-2" || exit 1
exec cargo build --release --locked --offline
