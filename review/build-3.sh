#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild platform/tests/kit/storeStandIn.ts platform/tests/kit/workerStandIn.ts \
  --bundle --external:dtrace-provider --platform=node --format=cjs --target=node20 --outdir=target/review-3 \
  --out-extension:.js=.cjs --log-level=warning
