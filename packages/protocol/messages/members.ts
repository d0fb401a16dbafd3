/** Messages that report the state of processes. */
import { z } from 'zod';

/** Load of a sidecar's upstream. */
export const loadSchema = z.object({
  /** Requests at the upstream. */
  running: z.number(),
  /** Online requests that wait for a slot. */
  waiting: z.number(),
  /** Requests that the upstream may run at once. */
  slots: z.number(),
  /** Batch items at the upstream; not counted in `running`, since online requests preempt them. */
  batch: z.number().optional(),
});
export type Load = z.infer<typeof loadSchema>;

/** State of a process of the system, as reported by the process itself. */
export const memberSchema = z.object({
  vm: z.string(),
  address: z.string(),
  role: z.enum(['entry', 'sidecar']),
  failureDomain: z.string(),
  incarnation: z.string(),
  /** Whether the process is about to stop and must get no new work. */
  leaving: z.boolean(),
  /** Group to which a sidecar's upstream belongs; routes refer to groups. */
  group: z.string().optional(),
  /** Models that a sidecar's upstream serves. */
  models: z.array(z.string()),
  load: loadSchema.optional(),
  /** Revision of the configuration that the process uses. */
  revision: z.number(),
});
export type Member = z.infer<typeof memberSchema>;

/** Periodic exchange: the sender reports its state and gets that of the receiver in the result. */
export const heartbeatSchema = z.object({ member: memberSchema });
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Methods that maintain the list of members. */
export const MEMBER_METHODS = {
  'member.heartbeat': { params: heartbeatSchema, result: heartbeatSchema },
} as const;
