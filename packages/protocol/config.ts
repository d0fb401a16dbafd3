/** Configuration entries and their changes. */
import { z } from 'zod';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'expected a short name');

/** A team: which models and routes it may use. Its limits are settings. */
export const teamSchema = z.strictObject({
  /** Allowed models; all when missing. */
  models: z.array(z.string()).optional(),
  /** Names of allowed routes; all when missing. */
  routes: z.array(z.string()).optional(),
});
export type Team = z.infer<typeof teamSchema>;

/** API key of a team; only the hash of its secret is stored. */
export const apiKeySchema = z.strictObject({
  team: nameSchema,
  /** SHA-256 of the secret in hex. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  label: z.string().max(80).optional(),
});
export type ApiKey = z.infer<typeof apiKeySchema>;

/** Kinds of routes: to model engines, or to plain HTTP services. */
export const ROUTE_KIND = { model: 'model', plain: 'plain' } as const;
/** Access to a route: with an API key, or open to all callers. */
export const ROUTE_ACCESS = { keyed: 'keyed', open: 'open' } as const;

/** A route: maps requests by their path to a group of upstreams. */
export const routeSchema = z.strictObject({
  kind: z.enum(ROUTE_KIND),
  /** Exact path, or a path prefix when it ends with a slash. */
  path: z.string().startsWith('/'),
  access: z.enum(ROUTE_ACCESS),
  /** Group of upstreams that serve the route. */
  group: nameSchema,
  /** HTTP methods whose requests may run more than once. */
  idempotentMethods: z.array(z.string()).default(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']),
});
export type Route = z.infer<typeof routeSchema>;

/** Settings of one level (the fleet, a team, a route, …) by name; values are text with units. */
export const levelSettingsSchema = z.record(z.string(), z.string());
export type LevelSettings = z.infer<typeof levelSettingsSchema>;

/** Kinds of configuration entries. */
export const CONFIG_ENTRY_KIND = {
  team: 'team',
  key: 'key',
  route: 'route',
  settings: 'settings',
} as const;
export type ConfigEntryKind = (typeof CONFIG_ENTRY_KIND)[keyof typeof CONFIG_ENTRY_KIND];

/** Schemas of the values of configuration entries, by kind. */
export const CONFIG_ENTRY_SCHEMAS = {
  team: teamSchema,
  key: apiKeySchema,
  route: routeSchema,
  settings: levelSettingsSchema,
} as const;

/** Change of one configuration entry; a null value removes the entry. */
export const configEntryChangeSchema = z.object({
  kind: z.enum(CONFIG_ENTRY_KIND),
  id: z.string().min(1).max(200),
  value: z.unknown(),
  /** Revision of the entry that the change is based on; 0 when the entry must not exist yet. */
  basedOn: z.number().int().nonnegative(),
});
export type ConfigEntryChange = z.infer<typeof configEntryChangeSchema>;

/** Changes of entries that take effect atomically, as one revision of the configuration. */
export const configChangeSchema = z.object({
  revision: z.number(),
  /** Id of the operation; the same change, when sent again, has the same id. */
  operation: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  changes: z.array(configEntryChangeSchema).min(1),
});
export type ConfigChange = z.infer<typeof configChangeSchema>;

/** Configuration entry with the revision that last changed it. */
export interface ConfigEntry {
  readonly kind: ConfigEntryKind;
  readonly id: string;
  readonly value: unknown;
  readonly revision: number;
}
