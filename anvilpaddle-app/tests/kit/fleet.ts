import { formatAddress, getSecretHash, newId, newSecret, type Address } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import type { ConfigEntryChange, LevelSettings, Route, Team } from '@anvilpaddle/protocol';
import {
  newEngineStandIn,
  newLink,
  newPlainStandIn,
  newPlatformStandIn,
  type EngineShape,
  type EngineStandIn,
  type Link,
  type PlainStandIn,
  type PlatformStandIn,
} from '@anvilpaddle/standins';
import { newOperatorClient, type OperatorClient } from '../../cli/operatorClient';
import { startChild, type Child, type Ini } from './child';
import { waitFor } from './waitFor';

export const FLEET_SECRET = 'secret-of-the-test-fleet';
export const OPERATOR_KEY = 'operator-key-of-the-test-fleet';

/** One VM with its process; the process can be ended and started again. */
export interface FleetProcess {
  readonly vm: string;
  readonly host: string;
  /** Address for messages between processes. */
  readonly peerAddress: Address;
  /** Cuts and slows messages to this process, when the fleet has links. */
  readonly proxy: Link | undefined;
  /** Base URL for callers; empty for a sidecar. */
  readonly url: string;
  process: Child;
  /** Starts a new process in place of one that has ended. */
  restart(): Promise<void>;
}

/** What a test's fleet is made of. */
export interface FleetOptions {
  readonly entries: number;
  readonly engines: number;
  readonly plainUpstreams: number;
  readonly engine?: Partial<EngineShape>;
  /** Settings added to every process's file. */
  readonly ini?: Ini;
  readonly settingsByLevel?: Readonly<Record<string, LevelSettings>>;
  /** Puts a link in front of each process's address for messages between processes. */
  readonly hasProxies?: boolean;
  /** Program to run in place of the product's, for measurements. */
  readonly bundle?: string;
}

/** A running fleet: real processes for entries and sidecars, stand-ins in the test's process. */
export interface Fleet {
  readonly platform: PlatformStandIn;
  readonly engines: readonly EngineStandIn[];
  readonly plainUpstreams: readonly PlainStandIn[];
  readonly entries: readonly FleetProcess[];
  /** Sidecars of the engines first, then of the plain services. */
  readonly sidecars: readonly FleetProcess[];
  readonly operator: OperatorClient;
  readonly vms: readonly Vm[];
  /** Creates a team with a key and gives the key. */
  createTeam(team: string, level?: LevelSettings, value?: Team): Promise<string>;
  change(
    kind: ConfigEntryChange['kind'],
    id: string,
    value: unknown,
    basedOn?: number,
  ): Promise<number>;
  /** Waits until every entry has the revision. */
  waitForRevision(revision: number): Promise<void>;
  close(): Promise<void>;
}

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
  chat: { kind: 'model', path: '/v1/chat/completions', access: 'keyed', group: 'llm' },
  completions: { kind: 'model', path: '/v1/completions', access: 'keyed', group: 'llm' },
  intake: { kind: 'plain', path: '/intake/', access: 'keyed', group: 'plain' },
  checkin: { kind: 'plain', path: '/checkin/', access: 'open', group: 'plain' },
};

const PEER_PORT = 9000;
const LINK_PORT = 9001;
const CALLER_PORT = 8000;
const FIRST_HOST = 10;
const HOSTS = 240;
let startedNodes = 0;

/**
 * Loopback address of a new VM. Test processes run side by side, so that each has a network of its
 * own, named by its process id; fixed ports then never collide.
 */
const getNextHost = (): string => {
  const host = FIRST_HOST + (startedNodes % HOSTS);
  startedNodes += 1;
  const network = process.pid % 65_536;
  return `127.${Math.floor(network / 256)}.${network % 256}.${host}`;
};

const mergeIni = (base: Ini, extra: Ini): Ini =>
  Object.fromEntries(
    [...new Set([...Object.keys(base), ...Object.keys(extra)])].map((section) => [
      section,
      { ...base[section], ...extra[section] },
    ]),
  );

const startNode = async (
  vm: string,
  index: number,
  platformUrl: string,
  extra: Ini,
  { hasProxies: hasLink = false, bundle }: FleetOptions,
): Promise<FleetProcess> => {
  const host = getNextHost();
  const listen = { host, port: PEER_PORT };
  const peer = hasLink ? { host, port: LINK_PORT } : listen;
  const callers = { host, port: CALLER_PORT };
  const role = vm.startsWith('entry') ? 'entry' : 'sidecar';
  const own: Ini =
    role === 'entry'
      ? {
          callers: { listen: `${host}:${callers.port}` },
          operators: { key_hash: getSecretHash(OPERATOR_KEY) },
        }
      : {};
  const ini = mergeIni(
    {
      process: { vm, failure_domain: `fd-${index % 3}`, stop_grace: '1s' },
      platform: { url: platformUrl, timeout: '1s', refresh: '100ms', list_refresh: '100ms' },
      peers: {
        listen: formatAddress(listen),
        ...(hasLink && { advertise: formatAddress(peer) }),
        secrets: FLEET_SECRET,
        heartbeat: '100ms',
        silence: '1s',
      },
      ...own,
    },
    extra,
  );
  const node: FleetProcess = {
    vm,
    host,
    peerAddress: peer,
    proxy: hasLink ? await newLink(peer, listen) : undefined,
    url: role === 'entry' ? `http://${host}:${callers.port}` : '',
    process: await startChild(role, ini, bundle),
    restart: async () => {
      node.process = await startChild(role, ini, bundle);
    },
  };
  return node;
};

const getVm = (node: FleetProcess, index: number): Vm => ({
  vm: node.vm,
  address: formatAddress(node.peerAddress),
  role: node.vm.startsWith('entry') ? 'entry' : 'sidecar',
  failureDomain: `fd-${index % 3}`,
  state: 'live',
});

interface Status {
  readonly members: readonly { readonly vm: string }[];
  readonly tokens: { readonly view?: { readonly members: readonly string[] } };
}

const startFleet = async (shape: FleetOptions, started: FleetProcess[]): Promise<Fleet> => {
  const any: Address = { host: '127.0.0.1', port: 0 };
  const platform = await newPlatformStandIn(any);
  const engineShape = {
    models: ['small-chat'],
    slots: 4,
    prefillMs: 5,
    tokenMs: 2,
    ...shape.engine,
  };
  const engines = await Promise.all(
    Array.from({ length: shape.engines }, () => newEngineStandIn(any, engineShape)),
  );
  const plains = await Promise.all(
    Array.from({ length: shape.plainUpstreams }, () => newPlainStandIn(any)),
  );
  const upstreams = [
    ...engines.map(({ url }, index) => ({ vm: `llm-${index + 1}`, kind: 'engine', url })),
    ...plains.map(({ url }, index) => ({ vm: `plain-${index + 1}`, kind: 'plain', url })),
  ];
  const entries = await Promise.all(
    Array.from({ length: shape.entries }, (_, index) =>
      startNode(`entry-${index + 1}`, index, platform.url, shape.ini ?? {}, shape),
    ),
  );
  const sidecars = await Promise.all(
    upstreams.map(({ vm, kind, url }, index) => {
      const group = kind === 'engine' ? 'llm' : 'plain';
      const slots = String(kind === 'engine' ? engineShape.slots : 16);
      const upstream = { upstream: { url, kind, group, slots } };
      const ini = mergeIni(upstream, shape.ini ?? {});
      return startNode(vm, shape.entries + index, platform.url, ini, shape);
    }),
  );
  const nodes = [...entries, ...sidecars];
  started.push(...nodes);
  const vms = nodes.map(getVm);
  platform.setVms(vms);
  const operator = newOperatorClient(entries[0]?.url ?? '', OPERATOR_KEY);

  const propose = async (changes: readonly ConfigEntryChange[]): Promise<number> => {
    const answer = await operator.post('/changes', { author: 'test', changes });
    if (!answer.ok) throw new Error(`${answer.error.code}: ${answer.error.message}`);
    return (answer.value as { revision: number }).revision;
  };

  const waitForRevision = async (revision: number): Promise<void> => {
    await Promise.all(
      entries.map((entry) =>
        waitFor(`revision ${revision} at ${entry.vm}`, async () => {
          const answer = await fetch(`${entry.url}/ready`);
          return ((await answer.json()) as { revision: number }).revision >= revision;
        }),
      ),
    );
  };

  const create = (
    kind: ConfigEntryChange['kind'],
    id: string,
    value: unknown,
  ): ConfigEntryChange => ({
    kind,
    id,
    value,
    basedOn: 0,
  });
  const fleetLevel = { 'limits.rate': '10000', 'limits.burst': '10000' };
  const levels = { fleet: fleetLevel, ...shape.settingsByLevel };
  await waitForRevision(
    await propose([
      ...Object.entries(ROUTES).map(([id, route]) => create('route', id, route)),
      ...Object.entries(levels).map(([id, level]) => create('settings', id, level)),
    ]),
  );
  await Promise.all(
    entries.map((entry) =>
      waitFor(`all members and holders of tokens at ${entry.vm}`, async () => {
        const status = await newOperatorClient(entry.url, OPERATOR_KEY).get('/status');
        if (!status.ok) return false;
        const { members, tokens } = status.value as Status;
        const isSettled =
          shape.bundle !== undefined || tokens.view?.members.length === shape.entries;
        const isSeen = (vm: string): boolean => members.some((member) => member.vm === vm);
        return isSettled && sidecars.every(({ vm }) => isSeen(vm));
      }),
    ),
  );

  return {
    platform,
    engines,
    plainUpstreams: plains,
    entries,
    sidecars,
    operator,
    vms,
    createTeam: async (team, level, value = {}) => {
      const secret = newSecret('ap');
      const revision = await propose([
        create('team', team, value),
        create('key', newId('key'), { team, hash: getSecretHash(secret) }),
        ...(level === undefined ? [] : [create('settings', `team/${team}`, level)]),
      ]);
      await waitForRevision(revision);
      return secret;
    },
    change: (kind, id, value, basedOn = 0) => propose([{ kind, id, value, basedOn }]),
    waitForRevision,
    close: async () => {
      await Promise.all(nodes.map((node) => node.process.kill()));
      await Promise.all(nodes.map((node) => node.proxy?.close()));
      await Promise.all([...engines, ...plains, platform].map((standIn) => standIn.close()));
    },
  };
};

/** Starts a fleet with teams and routes; closing it, or a failure to start, ends every process. */
export const newFleet = async (shape: FleetOptions): Promise<Fleet> => {
  const started: FleetProcess[] = [];
  try {
    return await startFleet(shape, started);
  } catch (fault) {
    await Promise.all(started.map((node) => node.process.kill()));
    throw fault;
  }
};
