#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
node_modules/.bin/esbuild platform/tests/kit/storeStandIn.ts --bundle --platform=node \
  --target=node20 --format=cjs --log-level=error --outfile=target/review/storeStandIn.cjs \
  --alias:dtrace-provider=./scripts/missing.cjs --alias:mv=./scripts/missing.cjs \
  --alias:source-map-support=./scripts/missing.cjs
