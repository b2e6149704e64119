#!/bin/sh
# Builds the stand-ins of the review's cases with the standard library only, into the ignored target folder.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_ins review/stand_ins/main.rs
