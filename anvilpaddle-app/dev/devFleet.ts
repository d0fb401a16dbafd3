/** Local system of entry process, sidecars and stand-ins that `anvilpaddle dev` runs. */
import {
  parseAddress,
  getSecretHash,
  loadHashing,
  newId,
  newLogger,
  newSecret,
  SystemClock,
  type Address,
  type Logger,
} from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import { newEngineStandIn, newPlainStandIn, newPlatformStandIn } from '@anvilpaddle/standins';
import { newOperatorClient } from '../cli/operatorClient';
import { newEntry } from '../entry/entry';
import type { Program } from '../process/program';
import { entrySettingsSchema, sidecarSettingsSchema } from '../processSettings/schema';
import { newSidecar } from '../sidecar/sidecar';

const ENGINE_OPTIONS = { models: ['small-chat'], slots: 4, prefillMs: 20, tokenMs: 5 } as const;
const ANY_PORT: Address = { host: '127.0.0.1', port: 0 };
const FIRST_PEER_PORT = 18_601;
const FAILURE_DOMAIN = 'dev-a';

/** A complete system with stand-ins in one process, for local development and demonstration. */
export interface DevFleet extends Program {
  readonly url: string;
  readonly teamKey: string;
  readonly operatorKey: string;
}

const DEMO_TEAM = 'demo';
/** Limits of the demo team, above the request rate of manual use. */
const DEMO_LIMITS = { 'limits.rate': '1000', 'limits.burst': '2000' };

const getPeerAddress = (index: number): string => `127.0.0.1:${FIRST_PEER_PORT + index}`;

const createDemoConfig = async (url: string, operatorKey: string): Promise<string> => {
  const teamKey = newSecret('ap');
  const client = newOperatorClient(url, operatorKey);
  const create = (kind: string, id: string, value: unknown) => ({ kind, id, value, basedOn: 0 });
  const created = await client.post('/changes', {
    author: 'dev',
    changes: [
      create('team', DEMO_TEAM, {}),
      create('settings', `team/${DEMO_TEAM}`, DEMO_LIMITS),
      create('key', newId('key'), { team: DEMO_TEAM, hash: getSecretHash(teamKey) }),
      create('route', 'chat', {
        kind: 'model',
        path: '/v1/chat/completions',
        access: 'keyed',
        group: 'llm',
      }),
      create('route', 'completions', {
        kind: 'model',
        path: '/v1/completions',
        access: 'keyed',
        group: 'llm',
      }),
      create('route', 'checkin', {
        kind: 'plain',
        path: '/checkin/',
        access: 'open',
        group: 'checkin',
      }),
    ],
  });
  if (!created.ok) throw new Error(created.error.message);
  return teamKey;
};

const getVms = (): Vm[] =>
  ['entry-1', 'llm-1', 'llm-2', 'checkin-1'].map((vm, index) => ({
    vm,
    address: getPeerAddress(index),
    role: index === 0 ? 'entry' : 'sidecar',
    failureDomain: FAILURE_DOMAIN,
    state: 'live',
  }));

/** Starts all processes on the loopback interface; callers connect to the address `listen`. */
export const newDevFleet = async (listen: string, log: Logger): Promise<DevFleet> => {
  await loadHashing();
  const clock = new SystemClock();
  const platform = await newPlatformStandIn(ANY_PORT);
  const engines = await Promise.all([1, 2].map(() => newEngineStandIn(ANY_PORT, ENGINE_OPTIONS)));
  const plainService = await newPlainStandIn(ANY_PORT);
  platform.setVms(getVms());
  const operatorKey = newSecret('op');
  const getCommonSettings = (vm: string, index: number) => ({
    process: { vm, failure_domain: FAILURE_DOMAIN },
    platform: { url: platform.url },
    peers: { listen: getPeerAddress(index), secrets: 'dev-secret-of-the-fleet' },
  });
  const upstreams = [
    ...engines.map(({ url }) => ({ url, kind: 'engine', group: 'llm', slots: '4' })),
    { url: plainService.url, kind: 'plain', group: 'checkin', slots: '16' },
  ];
  const sidecars = await Promise.all(
    upstreams.map((upstream, index) => {
      const vm = getVms()[index + 1]?.vm ?? '';
      const settings = sidecarSettingsSchema.parse({
        ...getCommonSettings(vm, index + 1),
        upstream,
      });
      return newSidecar(settings, clock, log);
    }),
  );
  const entry = await newEntry(
    entrySettingsSchema.parse({
      ...getCommonSettings('entry-1', 0),
      callers: { listen },
      operators: { key_hash: getSecretHash(operatorKey) },
    }),
    clock,
    log,
  );
  const url = `http://${entry.callers.host}:${entry.callers.port}`;
  const teamKey = await createDemoConfig(url, operatorKey);

  return {
    url,
    teamKey,
    operatorKey,
    stop: async () => {
      await entry.stop();
      await Promise.all(sidecars.map((sidecar) => sidecar.stop()));
      await Promise.all([...engines, plainService, platform].map((standIn) => standIn.close()));
    },
  };
};

/** Starts the system of `anvilpaddle dev` and prints its URL and keys. */
export const runDevFleet = async (listen: string): Promise<DevFleet> => {
  if (parseAddress(listen) === undefined) throw new Error(`--listen: expected HOST:PORT`);
  const dev = await newDevFleet(listen, newLogger('anvilpaddle-dev', 'warn'));
  const { url, teamKey, operatorKey } = dev;
  const next = "README.md has calls to try; `anvilpaddle --help` lists the operators' commands";
  process.stdout.write(`${JSON.stringify({ event: 'ready', url, teamKey, operatorKey, next })}\n`);
  return dev;
};
