#!/bin/sh
# Builds the stand-ins and the clients of the cases 6 to 10 into target/review-2. Run it after the build of
# deploy/balancer.toml; it needs rustc and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/cases review/cases_2/main.rs
