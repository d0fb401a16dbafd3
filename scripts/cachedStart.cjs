// Runs the bundle beside this file from its compiled form, which `--write-cache FILE` writes: it runs
// the program with the settings in FILE for a moment and keeps what was compiled until then.
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
