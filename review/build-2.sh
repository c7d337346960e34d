#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Needs no network.
set -eu
cd "$(dirname "$0")/stand-2"
cargo build --release --locked --offline
