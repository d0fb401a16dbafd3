import { z } from 'zod';
import { SERVICE_CLASS } from '@anvilpaddle/common';
import { RUN_STATE } from './constants';

/** One try of a request at one sidecar, sent in a header ahead of the body. */
export const attemptSchema = z.object({
  attempt: z.string().min(1).max(80),
  /** Incarnation of the sidecar that the attempt is meant for. */
  incarnation: z.string().min(1).max(80),
  /** Incarnation of the entry that sends it. */
  sender: z.string().min(1).max(80),
  /** Grows with each attempt of the sender. */
  sequence: z.number().int().positive(),
  request: z.string().min(1).max(80),
  team: z.string(),
  route: z.string(),
  serviceClass: z.enum(SERVICE_CLASS),
  idempotent: z.boolean(),
  /** Time left until the caller's deadline, in milliseconds. */
  timeLeftMs: z.number().positive(),
  method: z.string(),
  path: z.string(),
  model: z.string().optional(),
  /** Output tokens that the caller allows, when the request names a bound. */
  maxTokens: z.number().optional(),
  /** Headers for the upstream; never a credential. */
  headers: z.record(z.string(), z.string()),
});
export type Attempt = z.infer<typeof attemptSchema>;

/** Attempt as a header value. */
export const getAttemptHeader = (attempt: Attempt): string =>
  Buffer.from(JSON.stringify(attempt)).toString('base64url');

/** Attempt from a header value; undefined when it is malformed. */
export const parseAttemptHeader = (header: unknown): Attempt | undefined => {
  if (typeof header !== 'string') return undefined;
  try {
    const parsed = attemptSchema.safeParse(JSON.parse(Buffer.from(header, 'base64url').toString()));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

export const REFUSAL_REASON = {
  stopping: 'stopping',
  overloaded: 'overloaded',
  deadline: 'deadline',
  duplicate: 'duplicate',
  /** So old that the sidecar has forgotten whether a copy of it ran. */
  expired: 'expired',
  revoked: 'revoked',
  incarnation: 'incarnation',
  malformed: 'malformed',
  upstreamFailed: 'upstream_failed',
} as const;
export type RefusalReason = (typeof REFUSAL_REASON)[keyof typeof REFUSAL_REASON];

/** Why a sidecar gave no upstream's answer. */
export const refusalSchema = z.object({
  reason: z.enum(REFUSAL_REASON),
  run: z.enum(RUN_STATE),
  retryAfterMs: z.number().optional(),
  detail: z.string().optional(),
});
export type Refusal = z.infer<typeof refusalSchema>;

/** What a sidecar knows of an attempt. */
export const ATTEMPT_STATE = {
  queued: 'queued',
  sent: 'sent',
  done: 'done',
  revoked: 'revoked',
} as const;
export type AttemptState = (typeof ATTEMPT_STATE)[keyof typeof ATTEMPT_STATE];
