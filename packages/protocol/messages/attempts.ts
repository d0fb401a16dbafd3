import { z } from 'zod';

/** Asks a sidecar to give up an attempt that has not been sent to the upstream. */
export const revocationSchema = z.object({
  attempt: z.string().min(1).max(80),
  incarnation: z.string().min(1).max(80),
  sender: z.string().min(1).max(80),
  sequence: z.number().int().positive(),
});
export type Revocation = z.infer<typeof revocationSchema>;

/**
 * Answer to a revocation; `not_sent` is final, a late copy is refused. `expired`: the sidecar has
 * forgotten whether it ran the attempt.
 */
export const revocationResultSchema = z.object({
  state: z.enum(['not_sent', 'sent', 'done', 'expired', 'other_incarnation']),
});
export type RevocationResult = z.infer<typeof revocationResultSchema>;

/** Methods about attempts. */
export const ATTEMPT_METHODS = {
  'attempt.revoke': { params: revocationSchema, result: revocationResultSchema },
} as const;
