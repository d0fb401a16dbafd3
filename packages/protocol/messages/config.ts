import { z } from 'zod';
import { configChangeSchema, CONFIG_ENTRY_KIND } from '../config';

/** One entry as it goes from process to process. */
export const configEntrySchema = z.object({
  kind: z.enum(CONFIG_ENTRY_KIND),
  id: z.string(),
  value: z.unknown(),
  revision: z.number(),
});

/** Asks for what is newer than a revision. */
export const configReadSchema = z.object({ after: z.number().int().nonnegative() });

/** What the answering process has. */
export const configStateSchema = z.object({
  revision: z.number(),
  /** Time since the process surely had every accepted change, in ms; missing when it never had. */
  ageMs: z.number().nonnegative().optional(),
  /** Whether it has been current at some time since it started. */
  synced: z.boolean(),
  /** Changes after the asked revision, without a gap. */
  changes: z.array(configChangeSchema),
  /** All entries at `revision`, when the changes would have a gap. */
  snapshot: z.array(configEntrySchema).optional(),
});
export type ConfigState = z.infer<typeof configStateSchema>;

/** Tells of an accepted change. */
export const configPushSchema = z.object({ change: configChangeSchema });

/** Revision that the receiver has after a push. */
export const configPushResultSchema = z.object({ revision: z.number() });

/** Methods of the configuration's relay. */
export const CONFIG_METHODS = {
  'config.read': { params: configReadSchema, result: configStateSchema },
  'config.push': { params: configPushSchema, result: configPushResultSchema },
} as const;
