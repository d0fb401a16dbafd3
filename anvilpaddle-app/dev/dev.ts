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

const ENGINE = { models: ['small-chat'], slots: 4, prefillMs: 20, tokenMs: 5 } as const;
const ANY_PORT: Address = { host: '127.0.0.1', port: 0 };
const FIRST_PEER_PORT = 18_601;
const FAILURE_DOMAIN = 'dev-a';

/** A whole fleet with stand-ins in one process, for trying the system out. */
export interface Dev extends Program {
  readonly url: string;
  readonly teamKey: string;
  readonly operatorKey: string;
}

const DEMO_TEAM = 'demo';
/** Requests a second and at once that trying out does not meet. */
const DEMO_LIMITS = { 'limits.rate': '1000', 'limits.burst': '2000' };

const getPeerAddress = (index: number): string => `127.0.0.1:${FIRST_PEER_PORT + index}`;

const seed = async (url: string, operatorKey: string): Promise<string> => {
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

/** Starts everything on the loopback interface; callers use `listen`. */
export const newDev = async (listen: string, log: Logger): Promise<Dev> => {
  await loadHashing();
  const clock = new SystemClock();
  const platform = await newPlatformStandIn(ANY_PORT);
  const engines = await Promise.all([1, 2].map(() => newEngineStandIn(ANY_PORT, ENGINE)));
  const plain = await newPlainStandIn(ANY_PORT);
  platform.setVms(getVms());
  const operatorKey = newSecret('op');
  const getCommon = (vm: string, index: number) => ({
    process: { vm, failure_domain: FAILURE_DOMAIN },
    platform: { url: platform.url },
    peers: { listen: getPeerAddress(index), secrets: 'dev-secret-of-the-fleet' },
  });
  const upstreams = [
    ...engines.map(({ url }) => ({ url, kind: 'engine', group: 'llm', slots: '4' })),
    { url: plain.url, kind: 'plain', group: 'checkin', slots: '16' },
  ];
  const sidecars = await Promise.all(
    upstreams.map((upstream, index) => {
      const vm = getVms()[index + 1]?.vm ?? '';
      const file = sidecarSettingsSchema.parse({ ...getCommon(vm, index + 1), upstream });
      return newSidecar(file, clock, log);
    }),
  );
  const entry = await newEntry(
    entrySettingsSchema.parse({
      ...getCommon('entry-1', 0),
      callers: { listen },
      operators: { key_hash: getSecretHash(operatorKey) },
    }),
    clock,
    log,
  );
  const url = `http://${entry.callers.host}:${entry.callers.port}`;
  const teamKey = await seed(url, operatorKey);

  return {
    url,
    teamKey,
    operatorKey,
    stop: async () => {
      await entry.stop();
      await Promise.all(sidecars.map((sidecar) => sidecar.stop()));
      await Promise.all([...engines, plain, platform].map((standIn) => standIn.close()));
    },
  };
};

/** Runs `anvilpaddle dev` until it is told to stop. */
export const runDev = async (listen: string): Promise<Dev> => {
  if (parseAddress(listen) === undefined) throw new Error(`--listen: expected HOST:PORT`);
  const dev = await newDev(listen, newLogger('anvilpaddle-dev', 'warn'));
  const { url, teamKey, operatorKey } = dev;
  const next = "README.md has calls to try; `anvilpaddle --help` lists the operators' commands";
  process.stdout.write(`${JSON.stringify({ event: 'ready', url, teamKey, operatorKey, next })}\n`);
  return dev;
};
