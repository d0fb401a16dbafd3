/** Messages that distribute the configuration. */
import { z } from 'zod';
import { configChangeSchema, CONFIG_ENTRY_KIND } from '../config';

/** Configuration entry as sent between processes. */
export const configEntrySchema = z.object({
  kind: z.enum(CONFIG_ENTRY_KIND),
  id: z.string(),
  value: z.unknown(),
  revision: z.number(),
});

/** Requests the changes after a revision. */
export const configReadSchema = z.object({ after: z.number().int().nonnegative() });

/** Configuration of the responding process, relative to the requested revision. */
export const configStateSchema = z.object({
  revision: z.number(),
  /**
   * Age, in milliseconds, of the last time at which the process is known to have had every accepted
   * change; missing when there was no such time.
   */
  ageMs: z.number().nonnegative().optional(),
  /** Whether the process has had every accepted change at some time since its start. */
  synced: z.boolean(),
  /** Changes after the requested revision, without gaps. */
  changes: z.array(configChangeSchema),
  /** All entries at `revision`; sent instead of changes when those would have a gap. */
  snapshot: z.array(configEntrySchema).optional(),
});
export type ConfigState = z.infer<typeof configStateSchema>;

/** Announces an accepted change. */
export const configPushSchema = z.object({ change: configChangeSchema });

/** Revision of the receiver after a push. */
export const configPushResultSchema = z.object({ revision: z.number() });

/** Methods that distribute the configuration. */
export const CONFIG_METHODS = {
  'config.read': { params: configReadSchema, result: configStateSchema },
  'config.push': { params: configPushSchema, result: configPushResultSchema },
} as const;
