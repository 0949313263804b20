#!/usr/bin/env bash
# Loads one node, in a process of its own, as at the design size: 12.4 requests a second of 317 tokens.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
folder=$(mktemp -d)
./target/release/bench overhead --folder "$folder" "$@" &
bench=$!
until [ -s "$folder/node.ini" ]; do sleep 0.1; done
./target/release/croftpond serve --node "$folder/node.ini" > "$folder/out" 2>/dev/null &
node=$!
echo "$node" > "$folder/pid"
until grep -q listening "$folder/out"; do sleep 0.1; done
sed 's/listening on //' "$folder/out" > "$folder/address"
wait "$bench"
kill "$node"
rm -r "$folder"
