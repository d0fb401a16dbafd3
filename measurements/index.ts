import { loadHashing } from '@anvilpaddle/common';
import { measureCapacity } from './capacity';
import { measureFour } from './fourMeasures';
import { measureRouting } from './routing';

/** Measurements by name; `npm run measure -- NAME` runs one, no name runs all. */
const MEASUREMENTS: Readonly<Record<string, () => Promise<void>>> = {
  four: measureFour,
  capacity: measureCapacity,
  routing: measureRouting,
};

const main = async (): Promise<void> => {
  await loadHashing();
  const wanted = process.argv.slice(2);
  const unknown = wanted.filter((name) => !Object.hasOwn(MEASUREMENTS, name));
  if (unknown.length > 0) {
    process.stderr.write(`unknown: ${unknown.join(', ')}; known: ${Object.keys(MEASUREMENTS)}\n`);
    process.exitCode = 2;
    return;
  }
  for (const [name, measure] of Object.entries(MEASUREMENTS)) {
    if (wanted.length === 0 || wanted.includes(name)) await measure();
  }
};

void main();
