// Runs the bundle in this directory with V8's code cache, which shortens the start. `--write-cache`
// creates the cache: it runs the program with the settings in ANVILPADDLE_CONFIG for WARM_UP_MS and
// stores the code compiled in that time.
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const WARM_UP_MS = 700;
const bundle = join(__dirname, 'gateway.cjs');
const cache = join(__dirname, 'gateway.cache');
const isWriting = process.argv[2] === '--write-cache';

const source = readFileSync(bundle, 'utf8');
const script = new Script(`(function (exports, require, module) {${source}\n})`, {
  filename: bundle,
  cachedData: !isWriting && existsSync(cache) ? readFileSync(cache) : undefined,
});
if (script.cachedDataRejected === true) {
  process.stderr.write('compiled code does not fit this runtime; compiled anew\n');
}
script.runInThisContext()({}, require, { exports: {} });
if (isWriting) {
  setTimeout(() => {
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
  }, WARM_UP_MS);
}
