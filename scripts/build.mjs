// Bundles the program into one CommonJS file and, unless --bundle-only is given, into a single
// executable. With --target it builds the gateway and its code cache instead.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, existsSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = resolve(dirname(fileURLToPath(import.meta.url)), '..');
const dist = join(root, 'dist');
// V8 accepts the code cache only in a process with the same flags; keep deploy/system.toml in step.
const RUN_FLAGS = ['--max-old-space-size=120', '--single-threaded-gc'];
const bundleOnly = process.argv.includes('--bundle-only');

/** Bundles one entry point without bunyan's optional native modules. */
const bundle = (entryPoint, outfile) =>
  build({
    entryPoints: [join(root, entryPoint)],
    outfile: join(dist, outfile),
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    alias: {
      'dtrace-provider': join(root, 'scripts/missing.cjs'),
      mv: join(root, 'scripts/missing.cjs'),
      'source-map-support': join(root, 'scripts/missing.cjs'),
    },
  });

/** Builds a single executable: injects the bundle into a copy of the running Node.js executable. */
const buildBinary = () => {
  const blob = join(dist, 'anvilpaddle.blob');
  const binary = join(dist, 'anvilpaddle');
  const seaConfig = join(dist, 'sea-config.json');
  writeFileSync(
    seaConfig,
    JSON.stringify({
      main: join(dist, 'anvilpaddle.cjs'),
      output: blob,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: 'pipe' });
  rmSync(binary, { force: true });
  copyFileSync(process.execPath, binary);
  chmodSync(binary, 0o755);
  execFileSync(
    process.execPath,
    [
      join(root, 'node_modules/postject/dist/cli.js'),
      binary,
      'NODE_SEA_BLOB',
      blob,
      '--sentinel-fuse',
      'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
    ],
    { stdio: 'pipe' },
  );
};

/** Builds the gateway for the platform, with a code cache in its directory for quick restarts. */
const buildTarget = async () => {
  const target = join(root, 'target');
  mkdirSync(target, { recursive: true });
  await bundle('platform/main.ts', '../target/gateway.cjs');
  copyFileSync(join(root, 'scripts/cachedStart.cjs'), join(target, 'anvilpaddle.cjs'));
  execFileSync(process.execPath, [...RUN_FLAGS, join(target, 'anvilpaddle.cjs'), '--write-cache'], {
    stdio: 'pipe',
    env: { ...process.env, ANVILPADDLE_CONFIG: join(root, 'platform/warmUp.json') },
  });
};

if (process.argv.includes('--target')) {
  await buildTarget();
  process.exit(0);
}
mkdirSync(dist, { recursive: true });
await bundle('anvilpaddle-app/index.ts', 'anvilpaddle.cjs');
await bundle('platform/main.ts', 'gateway.cjs');
if (existsSync(join(root, 'measurements/index.ts'))) {
  await bundle('measurements/index.ts', 'measure.cjs');
  await bundle('measurements/naive.ts', 'naive.cjs');
}
if (!bundleOnly) buildBinary();
