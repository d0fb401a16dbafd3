import { loadHashing } from '@anvilpaddle/common';
import { measureBatch } from './batch';
import { measureCapacity } from './capacity';
import { measureConfig } from './config';
import { measureEndToEnd } from './endToEnd';
import { measureLimits } from './limits';
import { measureRetries } from './retries';
import { measureRouting } from './routing';
import { measureScheduling } from './scheduling';

/** Measurements by name; `npm run measure -- NAME` runs one, no name runs all. */
const MEASUREMENTS: Readonly<Record<string, () => Promise<void>>> = {
  four: measureEndToEnd,
  batch: measureBatch,
  capacity: measureCapacity,
  config: measureConfig,
  limits: measureLimits,
  retries: measureRetries,
  routing: measureRouting,
  scheduling: measureScheduling,
};

const main = async (): Promise<void> => {
  await loadHashing();
  const wanted = process.argv.slice(2);
  const unknown = wanted.filter((name) => !Object.hasOwn(MEASUREMENTS, name));
  if (unknown.length > 0) {
    const known = Object.keys(MEASUREMENTS).join(', ');
    process.stderr.write(`unknown: ${unknown.join(', ')}; known: ${known}\n`);
    process.exitCode = 2;
    return;
  }
  for (const [name, measure] of Object.entries(MEASUREMENTS)) {
    if (wanted.length === 0 || wanted.includes(name)) await measure();
  }
};

void main();
