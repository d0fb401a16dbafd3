import type {
  ConfigChange,
  ConfigEntry,
  ConfigEntryKind,
  ApiKey,
  LevelSettings,
  Route,
  Team,
} from '@anvilpaddle/protocol';

/** A route with its name. */
export interface NamedRoute extends Route {
  readonly name: string;
}

/** A key with its id. */
export interface NamedApiKey extends ApiKey {
  readonly id: string;
}

/** The configuration at one revision; read-only once built. */
export interface Config {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, ConfigEntry>;
  readonly teams: ReadonlyMap<string, Team>;
  readonly apiKeysByHash: ReadonlyMap<string, NamedApiKey>;
  readonly routes: readonly NamedRoute[];
  readonly settingsByLevel: ReadonlyMap<string, LevelSettings>;
}

/** Name of an entry in the map of entries and in the table service. */
export const getConfigEntryKey = (kind: ConfigEntryKind, id: string): string => `${kind}/${id}`;

type Parts = Pick<Config, 'teams' | 'apiKeysByHash' | 'routes' | 'settingsByLevel'>;

const getParts = (
  entries: ReadonlyMap<string, ConfigEntry>,
  kinds: Set<ConfigEntryKind>,
  old: Parts,
) => {
  const present = [...entries.values()].filter((entry) => kinds.has(entry.kind));
  const select = <T>(kind: ConfigEntryKind): (readonly [string, T])[] =>
    present.filter((entry) => entry.kind === kind).map(({ id, value }) => [id, value as T]);
  const getKeys = () =>
    new Map(select<ApiKey>('key').map(([id, key]) => [key.hash, { ...key, id }] as const));
  // The longest path wins, so that a route below another's prefix is found first.
  const getRoutes = () =>
    select<Route>('route')
      .map(([name, route]) => ({ ...route, name }))
      .sort((a, b) => b.path.length - a.path.length || (a.name < b.name ? -1 : 1));
  return {
    teams: kinds.has('team') ? new Map(select<Team>('team')) : old.teams,
    apiKeysByHash: kinds.has('key') ? getKeys() : old.apiKeysByHash,
    routes: kinds.has('route') ? getRoutes() : old.routes,
    settingsByLevel: kinds.has('settings')
      ? new Map(select<LevelSettings>('settings'))
      : old.settingsByLevel,
  };
};

const EMPTY_CONFIG: Config = {
  revision: 0,
  entries: new Map(),
  teams: new Map(),
  apiKeysByHash: new Map(),
  routes: [],
  settingsByLevel: new Map(),
};

/** Configuration made of entries. */
export const newConfig = (revision: number, list: readonly ConfigEntry[]): Config => {
  const entries = new Map(list.map((entry) => [getConfigEntryKey(entry.kind, entry.id), entry]));
  const kinds = new Set<ConfigEntryKind>(['team', 'key', 'route', 'settings']);
  return { revision, entries, ...getParts(entries, kinds, EMPTY_CONFIG) };
};

/**
 * Configuration after changes in the order of their revisions; older or repeated ones leave it as
 * it is. Only the parts whose kinds are touched are built anew.
 */
export const applyChanges = (config: Config, changes: readonly ConfigChange[]): Config => {
  const newer = changes.filter((change) => change.revision > config.revision);
  const last = newer.at(-1);
  if (last === undefined) return config;
  const entries = new Map(config.entries);
  const kinds = new Set<ConfigEntryKind>();
  newer.forEach((change) =>
    change.changes.forEach(({ kind, id, value }) => {
      const key = getConfigEntryKey(kind, id);
      kinds.add(kind);
      if (value === null) entries.delete(key);
      else if ((entries.get(key)?.revision ?? 0) <= change.revision) {
        entries.set(key, { kind, id, value, revision: change.revision });
      }
    }),
  );
  return { revision: last.revision, entries, ...getParts(entries, kinds, config) };
};

/** Changes that follow a revision without a gap; empty when the first of them is missing. */
export const getContiguousChanges = (
  changes: readonly ConfigChange[],
  after: number,
): readonly ConfigChange[] => {
  const newer = changes.filter((change) => change.revision > after);
  const gap = newer.findIndex((change, index) => change.revision !== after + 1 + index);
  return gap === -1 ? newer : newer.slice(0, gap);
};

const isRouteOf = (route: Route, path: string): boolean =>
  route.path === path || (route.path.endsWith('/') && path.startsWith(route.path));

const MAX_DECODINGS = 3;

/**
 * Path as the least careful upstream may read it: decoded as often as it was encoded, without empty
 * and dot segments. Undefined when it cannot be decoded.
 */
export const getCanonicalPath = (path: string): string | undefined => {
  let text = path;
  try {
    for (let round = 0; round < MAX_DECODINGS; round += 1) text = decodeURIComponent(text);
  } catch {
    return undefined;
  }
  const kept: string[] = [];
  text.split(/[/\\]/).forEach((segment) => {
    if (segment === '..') kept.pop();
    else if (segment !== '' && segment !== '.') kept.push(segment);
  });
  const isFolder = /[/\\]\.{0,2}$/.test(text) && kept.length > 0;
  return `/${kept.join('/')}${isFolder ? '/' : ''}`;
};

/**
 * Route of a path, the most specific one. No other spelling of a path leads to another route than
 * the one that its upstream will see.
 */
export const getRoute = (config: Config, path: string): NamedRoute | undefined => {
  const canonical = getCanonicalPath(path);
  if (canonical === undefined) return undefined;
  return config.routes.find((route) => isRouteOf(route, canonical));
};
