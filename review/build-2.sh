#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target
rustc --edition 2021 -O -o review/target/standins2 review/standins2.rs
# Case 6 plays a stand-in of the earlier review.
rustc --edition 2021 -O -o review/target/holders review/standins/holders.rs
