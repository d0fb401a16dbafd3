import { z } from 'zod';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'expected a short name');

/** A team: whom it may call. Its limits are settings. */
export const teamSchema = z.strictObject({
  /** Models that the team may use; all when missing. */
  models: z.array(z.string()).optional(),
  /** Routes that the team may use; all when missing. */
  routes: z.array(z.string()).optional(),
});
export type Team = z.infer<typeof teamSchema>;

/** A caller's key; the secret itself is never stored. */
export const apiKeySchema = z.strictObject({
  team: nameSchema,
  /** SHA-256 of the secret in hex. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  label: z.string().max(80).optional(),
});
export type ApiKey = z.infer<typeof apiKeySchema>;

export const ROUTE_KIND = { model: 'model', plain: 'plain' } as const;
export const ROUTE_ACCESS = { keyed: 'keyed', open: 'open' } as const;

/** A route: which requests go to which group of upstreams. */
export const routeSchema = z.strictObject({
  kind: z.enum(ROUTE_KIND),
  /** Path, or path prefix when it ends in a slash. */
  path: z.string().startsWith('/'),
  access: z.enum(ROUTE_ACCESS),
  /** Group of upstreams that serve the route. */
  group: nameSchema,
  /** Methods whose calls may be repeated. */
  idempotentMethods: z.array(z.string()).default(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']),
});
export type Route = z.infer<typeof routeSchema>;

/** Settings of one level, by name, as text with units. */
export const levelSettingsSchema = z.record(z.string(), z.string());
export type LevelSettings = z.infer<typeof levelSettingsSchema>;

export const CONFIG_ENTRY_KIND = {
  team: 'team',
  key: 'key',
  route: 'route',
  settings: 'settings',
} as const;
export type ConfigEntryKind = (typeof CONFIG_ENTRY_KIND)[keyof typeof CONFIG_ENTRY_KIND];

/** Schemas of an entry's value by kind. */
export const CONFIG_ENTRY_SCHEMAS = {
  team: teamSchema,
  key: apiKeySchema,
  route: routeSchema,
  settings: levelSettingsSchema,
} as const;

/** Change of one entry; a null value removes it. */
export const configEntryChangeSchema = z.object({
  kind: z.enum(CONFIG_ENTRY_KIND),
  id: z.string().min(1).max(200),
  value: z.unknown(),
  /** Revision of the entry that the change builds on; 0 when it does not exist yet. */
  basedOn: z.number().int().nonnegative(),
});
export type ConfigEntryChange = z.infer<typeof configEntryChangeSchema>;

/** Changes that take effect together under one revision. */
export const configChangeSchema = z.object({
  revision: z.number(),
  operation: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  changes: z.array(configEntryChangeSchema).min(1),
});
export type ConfigChange = z.infer<typeof configChangeSchema>;

/** One entry of the configuration with the revision that last changed it. */
export interface ConfigEntry {
  readonly kind: ConfigEntryKind;
  readonly id: string;
  readonly value: unknown;
  readonly revision: number;
}
