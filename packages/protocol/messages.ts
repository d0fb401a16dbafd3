import { z } from 'zod';

/** Load of one sidecar's upstream. */
export const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
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

/** Asks a sidecar to give up an attempt that has not been sent to the upstream. */
export const revokeSchema = z.object({ attempt: z.string(), incarnation: z.string() });
export type Revocation = z.infer<typeof revokeSchema>;

/** Answer to a revocation; `not_sent` is final, a late copy is refused. */
export const revokedSchema = z.object({
  state: z.enum(['not_sent', 'sent', 'done', 'other_incarnation']),
});
export type Revoked = z.infer<typeof revokedSchema>;

/** Methods between processes with the schemas of their parameters and results. */
export const METHODS = {
  'member.heartbeat': { params: heartbeatSchema, result: heartbeatSchema },
  'attempt.revoke': { params: revokeSchema, result: revokedSchema },
} as const;
export type Methods = typeof METHODS;
export type Method = keyof Methods;
export type Params<M extends Method> = z.infer<Methods[M]['params']>;
export type Answer<M extends Method> = z.infer<Methods[M]['result']>;
