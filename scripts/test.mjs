// Runs jest and tolerates only the failures listed in KNOWN-RED.txt; prints each of them.
import { spawnSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = resolve(dirname(fileURLToPath(import.meta.url)), '..');
const report = join(tmpdir(), `anvilpaddle-jest-${process.pid}.json`);

/** Full names of the tests that are known to fail, from the `test:` lines of KNOWN-RED.txt. */
const getKnownRed = () =>
  readFileSync(join(root, 'KNOWN-RED.txt'), 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());

const run = spawnSync(
  process.execPath,
  [
    join(root, 'node_modules/jest/bin/jest.js'),
    '--ci',
    '--json',
    `--outputFile=${report}`,
    ...process.argv.slice(2),
  ],
  { cwd: root, stdio: ['ignore', 'ignore', 'inherit'] },
);
const results = JSON.parse(readFileSync(report, 'utf8'));
rmSync(report, { force: true });

const failed = results.testResults
  .flatMap(({ assertionResults }) => assertionResults)
  .filter(({ status }) => status === 'failed')
  .map(({ fullName }) => fullName);
const knownRed = getKnownRed();
const unexpected = failed.filter((name) => !knownRed.includes(name));
// A test file that fails to load reports no assertion results.
const broken = results.testResults.filter(
  ({ status, assertionResults }) => status === 'failed' && assertionResults.length === 0,
);

failed
  .filter((name) => knownRed.includes(name))
  .forEach((name) => process.stdout.write(`known red, failed: ${name}\n`));
knownRed
  .filter((name) => !failed.includes(name))
  .forEach((name) => process.stdout.write(`known red, passed or not run: ${name}\n`));
unexpected.forEach((name) => process.stdout.write(`failed: ${name}\n`));
broken.forEach(({ name }) => process.stdout.write(`did not load: ${name}\n`));
process.stdout.write(`tests: ${results.numPassedTests} passed, ${results.numFailedTests} failed\n`);
const isClean = run.status === 0 || (failed.length > 0 && results.numRuntimeErrorTestSuites === 0);
process.exit(isClean && unexpected.length === 0 && broken.length === 0 ? 0 : 1);
