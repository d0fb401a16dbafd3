/** Command line of the measurements: runs those named in its arguments, or all of them. */
import { loadHashing } from '@anvilpaddle/common';
import { measureBatch } from './batch';
import { measureCapacity } from './capacity';
import { measureConfig } from './config';
import { measureEndToEnd } from './endToEnd';
import { measureGatewayCpu } from './gatewayCpu';
import { measureGossip } from './gossip';
import { measureHeldBytes } from './heldBytes';
import { measureLimits } from './limits';
import { measureRetries } from './retries';
import { measureRouting } from './routing';
import { measureScheduling } from './scheduling';
import { measureTeamShares } from './teamShares';
import { measureUpstreamLimits } from './upstreamLimits';
import { measureWorstLoad } from './worstLoad';

/** Measurements by the name that the command line takes. */
const MEASUREMENTS: Readonly<Record<string, () => Promise<void>>> = {
  four: measureEndToEnd,
  batch: measureBatch,
  capacity: measureCapacity,
  config: measureConfig,
  gatewayCpu: measureGatewayCpu,
  gossip: measureGossip,
  heldBytes: measureHeldBytes,
  limits: measureLimits,
  retries: measureRetries,
  routing: measureRouting,
  scheduling: measureScheduling,
  teamShares: measureTeamShares,
  upstreamLimits: measureUpstreamLimits,
  worstLoad: measureWorstLoad,
};

const main = async (): Promise<void> => {
  await loadHashing();
  const requestedNames = process.argv.slice(2);
  const unknownNames = requestedNames.filter((name) => !Object.hasOwn(MEASUREMENTS, name));
  if (unknownNames.length > 0) {
    const knownNames = Object.keys(MEASUREMENTS).join(', ');
    process.stderr.write(`unknown: ${unknownNames.join(', ')}; known: ${knownNames}\n`);
    process.exitCode = 2;
    return;
  }
  for (const [name, measure] of Object.entries(MEASUREMENTS)) {
    if (requestedNames.length === 0 || requestedNames.includes(name)) await measure();
  }
};

void main();
