/** Fleet of real entry and sidecar processes in front of stand-ins, for tests and measurements. */
import { formatAddress, getSecretHash, newId, newSecret, type Address } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import type { ConfigEntryChange, LevelSettings, Route, Team } from '@anvilpaddle/protocol';
import {
  newEngineStandIn,
  newTcpProxy,
  newPlainStandIn,
  newPlatformStandIn,
  type EngineOptions,
  type EngineStandIn,
  type TcpProxy,
  type PlainStandIn,
  type PlatformStandIn,
} from '@anvilpaddle/standins';
import { newOperatorClient, type OperatorClient } from '../../cli/operatorClient';
import { startChild, type Child, type Ini } from './child';
import { waitFor } from './waitFor';

export const FLEET_SECRET = 'secret-of-the-test-fleet';
export const OPERATOR_KEY = 'operator-key-of-the-test-fleet';

/** Entry or sidecar process on a VM of its own; it can be ended and started again. */
export interface FleetProcess {
  readonly vm: string;
  readonly host: string;
  /** Address for messages between processes. */
  readonly peerAddress: Address;
  /** Proxy that interrupts or delays messages to this process, if the fleet has proxies. */
  readonly proxy: TcpProxy | undefined;
  /** Base URL for callers; empty for a sidecar. */
  readonly url: string;
  process: Child;
  /** Starts a new process with the same settings after the previous one has ended. */
  restart(): Promise<void>;
}

/** Options of a new fleet. */
export interface FleetOptions {
  /** Number of entries. */
  readonly entries: number;
  /** Number of engines, each with a sidecar. */
  readonly engines: number;
  /** Number of plain upstreams, each with a sidecar. */
  readonly plainUpstreams: number;
  /** Base URLs of further plain upstreams, each with a sidecar. */
  readonly plainUrls?: readonly string[];
  readonly engine?: Partial<EngineOptions>;
  /** Settings that are added to the settings file of every process. */
  readonly ini?: Ini;
  /** Settings of the configuration by their level, such as `fleet`. */
  readonly settingsByLevel?: Readonly<Record<string, LevelSettings>>;
  /** Whether messages between processes go through a proxy in front of each process. */
  readonly hasProxies?: boolean;
  /** Path of another build of the program to run, for measurements. */
  readonly bundle?: string;
}

/** Running fleet: entries and sidecars are processes, the stand-ins run in the test's process. */
export interface Fleet {
  readonly platform: PlatformStandIn;
  readonly engines: readonly EngineStandIn[];
  readonly plainUpstreams: readonly PlainStandIn[];
  readonly entries: readonly FleetProcess[];
  /** Sidecars of the engines first, then those of the plain upstreams. */
  readonly sidecars: readonly FleetProcess[];
  readonly operator: OperatorClient;
  readonly vms: readonly Vm[];
  /** Creates a team with an API key and returns the key once every entry knows it. */
  createTeam(team: string, teamSettings?: LevelSettings, value?: Team): Promise<string>;
  /** Changes one configuration entry and returns the new revision; null as the value deletes it. */
  change(
    kind: ConfigEntryChange['kind'],
    id: string,
    value: unknown,
    basedOn?: number,
  ): Promise<number>;
  /** Waits until every entry has a configuration of at least this revision. */
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
const PROXY_PORT = 9001;
const CALLER_PORT = 8000;
/** Last octets of the VMs' loopback addresses. */
const FIRST_HOST = 10;
const HOST_COUNT = 240;
let startedProcessCount = 0;

/**
 * Returns the loopback address of a new VM. Jest runs test files in parallel processes, so each uses
 * a network derived from its process id; the fixed ports of two tests then do not collide.
 */
const getNextHost = (): string => {
  const host = FIRST_HOST + (startedProcessCount % HOST_COUNT);
  startedProcessCount += 1;
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

const startFleetProcess = async (
  vm: string,
  index: number,
  platformUrl: string,
  extraSettings: Ini,
  { hasProxies: hasProxy = false, bundle }: FleetOptions,
): Promise<FleetProcess> => {
  const host = getNextHost();
  const listen = { host, port: PEER_PORT };
  const peer = hasProxy ? { host, port: PROXY_PORT } : listen;
  const callers = { host, port: CALLER_PORT };
  const role = vm.startsWith('entry') ? 'entry' : 'sidecar';
  const roleSettings: Ini =
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
        ...(hasProxy && { advertise: formatAddress(peer) }),
        secrets: FLEET_SECRET,
        heartbeat: '100ms',
        silence: '1s',
      },
      ...roleSettings,
    },
    extraSettings,
  );
  const fleetProcess: FleetProcess = {
    vm,
    host,
    peerAddress: peer,
    proxy: hasProxy ? await newTcpProxy(peer, listen) : undefined,
    url: role === 'entry' ? `http://${host}:${callers.port}` : '',
    process: await startChild(role, ini, bundle),
    restart: async () => {
      fleetProcess.process = await startChild(role, ini, bundle);
    },
  };
  return fleetProcess;
};

const getVm = (fleetProcess: FleetProcess, index: number): Vm => ({
  vm: fleetProcess.vm,
  address: formatAddress(fleetProcess.peerAddress),
  role: fleetProcess.vm.startsWith('entry') ? 'entry' : 'sidecar',
  failureDomain: `fd-${index % 3}`,
  state: 'live',
});

/** Part of an entry's status that is read here. */
interface Status {
  readonly members: readonly { readonly vm: string }[];
  readonly tokens: { readonly view?: { readonly members: readonly string[] } };
}

const startFleet = async (options: FleetOptions, started: FleetProcess[]): Promise<Fleet> => {
  const anyAddress: Address = { host: '127.0.0.1', port: 0 };
  const platform = await newPlatformStandIn(anyAddress);
  const engineOptions = {
    models: ['small-chat'],
    slots: 4,
    prefillMs: 5,
    tokenMs: 2,
    ...options.engine,
  };
  const engines = await Promise.all(
    Array.from({ length: options.engines }, () => newEngineStandIn(anyAddress, engineOptions)),
  );
  const plains = await Promise.all(
    Array.from({ length: options.plainUpstreams }, () => newPlainStandIn(anyAddress)),
  );
  const upstreams = [
    ...engines.map(({ url }, index) => ({ vm: `llm-${index + 1}`, kind: 'engine', url })),
    ...[...plains.map(({ url }) => url), ...(options.plainUrls ?? [])].map((url, index) => ({
      vm: `plain-${index + 1}`,
      kind: 'plain',
      url,
    })),
  ];
  const entries = await Promise.all(
    Array.from({ length: options.entries }, (_, index) =>
      startFleetProcess(`entry-${index + 1}`, index, platform.url, options.ini ?? {}, options),
    ),
  );
  const sidecars = await Promise.all(
    upstreams.map(({ vm, kind, url }, index) => {
      const group = kind === 'engine' ? 'llm' : 'plain';
      const slots = String(kind === 'engine' ? engineOptions.slots : 16);
      const upstream = { upstream: { url, kind, group, slots } };
      const ini = mergeIni(upstream, options.ini ?? {});
      return startFleetProcess(vm, options.entries + index, platform.url, ini, options);
    }),
  );
  const processes = [...entries, ...sidecars];
  started.push(...processes);
  const vms = processes.map(getVm);
  platform.setVms(vms);
  const operator = newOperatorClient(entries[0]?.url ?? '', OPERATOR_KEY);

  const propose = async (changes: readonly ConfigEntryChange[]): Promise<number> => {
    const response = await operator.post('/changes', { author: 'test', changes });
    if (!response.ok) throw new Error(`${response.error.code}: ${response.error.message}`);
    return (response.value as { revision: number }).revision;
  };

  const waitForRevision = async (revision: number): Promise<void> => {
    await Promise.all(
      entries.map((entry) =>
        waitFor(`revision ${revision} at ${entry.vm}`, async () => {
          const response = await fetch(`${entry.url}/ready`);
          return ((await response.json()) as { revision: number }).revision >= revision;
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
  const fleetSettings = { 'limits.rate': '10000', 'limits.burst': '10000' };
  const settingsByLevel = { fleet: fleetSettings, ...options.settingsByLevel };
  await waitForRevision(
    await propose([
      ...Object.entries(ROUTES).map(([id, route]) => create('route', id, route)),
      ...Object.entries(settingsByLevel).map(([id, levelSettings]) =>
        create('settings', id, levelSettings),
      ),
    ]),
  );
  await Promise.all(
    entries.map((entry) =>
      waitFor(`all members and all token holders at ${entry.vm}`, async () => {
        const status = await newOperatorClient(entry.url, OPERATOR_KEY).get('/status');
        if (!status.ok) return false;
        const { members, tokens } = status.value as Status;
        const isTokenViewComplete =
          options.bundle !== undefined || tokens.view?.members.length === options.entries;
        const isSeen = (vm: string): boolean => members.some((member) => member.vm === vm);
        return isTokenViewComplete && sidecars.every(({ vm }) => isSeen(vm));
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
    createTeam: async (team, teamSettings, value = {}) => {
      const secret = newSecret('ap');
      const revision = await propose([
        create('team', team, value),
        create('key', newId('key'), { team, hash: getSecretHash(secret) }),
        ...(teamSettings === undefined ? [] : [create('settings', `team/${team}`, teamSettings)]),
      ]);
      await waitForRevision(revision);
      return secret;
    },
    change: (kind, id, value, basedOn = 0) => propose([{ kind, id, value, basedOn }]),
    waitForRevision,
    close: async () => {
      await Promise.all(processes.map((fleetProcess) => fleetProcess.process.kill()));
      await Promise.all(processes.map((fleetProcess) => fleetProcess.proxy?.close()));
      await Promise.all([...engines, ...plains, platform].map((standIn) => standIn.close()));
    },
  };
};

/**
 * Starts a fleet with settings and routes. Every process ends when the fleet is closed, or when a step
 * fails after all processes have started.
 */
export const newFleet = async (options: FleetOptions): Promise<Fleet> => {
  const started: FleetProcess[] = [];
  try {
    return await startFleet(options, started);
  } catch (error) {
    await Promise.all(started.map((fleetProcess) => fleetProcess.process.kill()));
    throw error;
  }
};
