/** Messages that revoke attempts. */
import { z } from 'zod';

/** Asks a sidecar to cancel an attempt, if it has not sent it to the upstream yet. */
export const revocationSchema = z.object({
  attempt: z.string().min(1).max(80),
  incarnation: z.string().min(1).max(80),
  sender: z.string().min(1).max(80),
  sequence: z.number().int().positive(),
});
export type Revocation = z.infer<typeof revocationSchema>;

/**
 * State of the attempt after a revocation. `not_sent` is final: a copy of the attempt that arrives
 * later is refused. `expired`: the sidecar no longer stores whether the attempt ran.
 */
export const revocationResultSchema = z.object({
  state: z.enum(['not_sent', 'sent', 'done', 'expired', 'other_incarnation']),
});
export type RevocationResult = z.infer<typeof revocationResultSchema>;

/** Methods that concern attempts. */
export const ATTEMPT_METHODS = {
  'attempt.revoke': { params: revocationSchema, result: revocationResultSchema },
} as const;
