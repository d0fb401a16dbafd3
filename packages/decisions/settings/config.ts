import type {
  Change,
  ConfigEntry,
  EntryKind,
  Key,
  Level,
  Route,
  Team,
} from '@anvilpaddle/protocol';

/** A route with its name. */
export interface NamedRoute extends Route {
  readonly name: string;
}

/** A key with its id. */
export interface NamedKey extends Key {
  readonly id: string;
}

/** The configuration at one revision; read-only once built. */
export interface Config {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, ConfigEntry>;
  readonly teams: ReadonlyMap<string, Team>;
  readonly keysByHash: ReadonlyMap<string, NamedKey>;
  readonly routes: readonly NamedRoute[];
  readonly levels: ReadonlyMap<string, Level>;
}

/** Name of an entry in the map of entries and in the table service. */
export const getEntryKey = (kind: EntryKind, id: string): string => `${kind}/${id}`;

/** Configuration made of entries; those with a null value are removed entries. */
export const newConfig = (revision: number, list: readonly ConfigEntry[]): Config => {
  const present = list.filter((entry) => entry.value !== null);
  const select = <T>(kind: EntryKind): (readonly [string, T])[] =>
    present.filter((entry) => entry.kind === kind).map(({ id, value }) => [id, value as T]);
  const keys = select<Key>('key').map(([id, key]) => ({ ...key, id }));
  return {
    revision,
    entries: new Map(list.map((entry) => [getEntryKey(entry.kind, entry.id), entry])),
    teams: new Map(select<Team>('team')),
    keysByHash: new Map(keys.map((key) => [key.hash, key])),
    // The longest path wins, so that a route below another's prefix is found first.
    routes: select<Route>('route')
      .map(([name, route]) => ({ ...route, name }))
      .sort((a, b) => b.path.length - a.path.length || (a.name < b.name ? -1 : 1)),
    levels: new Map(select<Level>('settings')),
  };
};

/** Configuration after a change; an older or repeated change leaves it as it is. */
export const applyChange = (config: Config, change: Change): Config => {
  if (change.revision <= config.revision) return config;
  const entries = new Map(config.entries);
  change.changes.forEach(({ kind, id, value }) => {
    entries.set(getEntryKey(kind, id), { kind, id, value, revision: change.revision });
  });
  return newConfig(change.revision, [...entries.values()]);
};

const isRouteOf = (route: Route, path: string): boolean =>
  route.path === path || (route.path.endsWith('/') && path.startsWith(route.path));

/** Route of a path, the most specific one. */
export const getRoute = (config: Config, path: string): NamedRoute | undefined =>
  config.routes.find((route) => isRouteOf(route, path));

/** Revision that last changed an entry; 0 when it never existed. */
export const getEntryRevision = (config: Config, kind: EntryKind, id: string): number =>
  config.entries.get(getEntryKey(kind, id))?.revision ?? 0;
