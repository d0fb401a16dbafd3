import { z } from 'zod';

/** Load of one sidecar's upstream. */
export const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  /** Batch items at the upstream; they yield and are not in `running`. */
  batch: z.number().optional(),
});
export type Load = z.infer<typeof loadSchema>;

/** State of one process of the system as it tells it itself. */
export const memberSchema = z.object({
  vm: z.string(),
  address: z.string(),
  role: z.enum(['entry', 'sidecar']),
  failureDomain: z.string(),
  incarnation: z.string(),
  leaving: z.boolean(),
  /** Group of upstreams that a sidecar belongs to; routes name groups. */
  group: z.string().optional(),
  models: z.array(z.string()),
  load: loadSchema.optional(),
  /** Revision of the configuration in force. */
  revision: z.number(),
});
export type Member = z.infer<typeof memberSchema>;

/** Message of one tick: the sender's own state against the receiver's. */
export const heartbeatSchema = z.object({ member: memberSchema });
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Methods of membership. */
export const MEMBER_METHODS = {
  'member.heartbeat': { params: heartbeatSchema, result: heartbeatSchema },
} as const;
