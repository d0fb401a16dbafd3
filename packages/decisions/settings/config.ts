/** The configuration: teams, API keys, routes and settings, built from its entries. */
import type {
  ConfigChange,
  ConfigEntry,
  ConfigEntryKind,
  ApiKey,
  LevelSettings,
  Route,
  Team,
} from '@anvilpaddle/protocol';

/** Route with its name. */
export interface NamedRoute extends Route {
  readonly name: string;
}

/** API key with its id. */
export interface NamedApiKey extends ApiKey {
  readonly id: string;
}

/** Immutable configuration at one revision, with its entries indexed by kind. */
export interface Config {
  readonly revision: number;
  /** All entries, by `getConfigEntryKey`. */
  readonly entries: ReadonlyMap<string, ConfigEntry>;
  readonly teams: ReadonlyMap<string, Team>;
  readonly apiKeysByHash: ReadonlyMap<string, NamedApiKey>;
  /** Routes in the order in which paths are matched. */
  readonly routes: readonly NamedRoute[];
  readonly settingsByLevel: ReadonlyMap<string, LevelSettings>;
}

/** Key of an entry in the map of entries and in the table service. */
export const getConfigEntryKey = (kind: ConfigEntryKind, id: string): string => `${kind}/${id}`;

/** Views of the entries of one kind each. */
type Indexes = Pick<Config, 'teams' | 'apiKeysByHash' | 'routes' | 'settingsByLevel'>;

/** Rebuilds the indexes of the given kinds; the others are taken over from `previous`. */
const getIndexes = (
  entries: ReadonlyMap<string, ConfigEntry>,
  kinds: Set<ConfigEntryKind>,
  previous: Indexes,
) => {
  const affected = [...entries.values()].filter((entry) => kinds.has(entry.kind));
  const select = <T>(kind: ConfigEntryKind): (readonly [string, T])[] =>
    affected.filter((entry) => entry.kind === kind).map(({ id, value }) => [id, value as T]);
  const getApiKeysByHash = () =>
    new Map(select<ApiKey>('key').map(([id, key]) => [key.hash, { ...key, id }] as const));
  // Longest path first, so that a route below another's path prefix takes precedence.
  const getRoutes = () =>
    select<Route>('route')
      .map(([name, route]) => ({ ...route, name }))
      .sort((a, b) => b.path.length - a.path.length || (a.name < b.name ? -1 : 1));
  return {
    teams: kinds.has('team') ? new Map(select<Team>('team')) : previous.teams,
    apiKeysByHash: kinds.has('key') ? getApiKeysByHash() : previous.apiKeysByHash,
    routes: kinds.has('route') ? getRoutes() : previous.routes,
    settingsByLevel: kinds.has('settings')
      ? new Map(select<LevelSettings>('settings'))
      : previous.settingsByLevel,
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

/** Creates a configuration from its entries. */
export const newConfig = (revision: number, configEntries: readonly ConfigEntry[]): Config => {
  const entries = new Map(
    configEntries.map((entry) => [getConfigEntryKey(entry.kind, entry.id), entry]),
  );
  const kinds = new Set<ConfigEntryKind>(['team', 'key', 'route', 'settings']);
  return { revision, entries, ...getIndexes(entries, kinds, EMPTY_CONFIG) };
};

/**
 * Applies changes, which must be in the order of their revisions. Changes that the configuration
 * already contains are skipped. Only the indexes of the changed kinds are rebuilt.
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
      // An entry that was read during concurrent changes may be newer than the configuration's
      // revision; an older change must not overwrite it.
      else if ((entries.get(key)?.revision ?? 0) <= change.revision) {
        entries.set(key, { kind, id, value, revision: change.revision });
      }
    }),
  );
  return { revision: last.revision, entries, ...getIndexes(entries, kinds, config) };
};

/** Changes that follow a revision up to the first gap; empty when the next revision is missing. */
export const getContiguousChanges = (
  changes: readonly ConfigChange[],
  after: number,
): readonly ConfigChange[] => {
  const newer = changes.filter((change) => change.revision > after);
  const gap = newer.findIndex((change, index) => change.revision !== after + 1 + index);
  return gap === -1 ? newer : newer.slice(0, gap);
};

const isRouteMatch = (route: Route, path: string): boolean =>
  route.path === path || (route.path.endsWith('/') && path.startsWith(route.path));

/** Rounds of percent-decoding, for paths that were encoded more than once. */
const MAX_DECODINGS = 3;

/**
 * Normalizes a path the way the most lenient upstream may interpret it: percent-decoded repeatedly,
 * with backslashes as separators and without empty and dot segments. Undefined when the path cannot
 * be decoded.
 */
export const getCanonicalPath = (path: string): string | undefined => {
  let decoded = path;
  try {
    for (let round = 0; round < MAX_DECODINGS; round += 1) decoded = decodeURIComponent(decoded);
  } catch {
    return undefined;
  }
  const segments: string[] = [];
  decoded.split(/[/\\]/).forEach((segment) => {
    if (segment === '..') segments.pop();
    else if (segment !== '' && segment !== '.') segments.push(segment);
  });
  const isDirectory = /[/\\]\.{0,2}$/.test(decoded) && segments.length > 0;
  return `/${segments.join('/')}${isDirectory ? '/' : ''}`;
};

/**
 * Most specific route that matches a path. The path is normalized first, so that no alternative
 * spelling selects another route than the one for the path that the upstream will see.
 */
export const getRoute = (config: Config, path: string): NamedRoute | undefined => {
  const canonical = getCanonicalPath(path);
  if (canonical === undefined) return undefined;
  return config.routes.find((route) => isRouteMatch(route, canonical));
};
