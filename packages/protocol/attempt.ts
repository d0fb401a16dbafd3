/** Attempts that entry processes send to sidecars, and how sidecars refuse them. */
import { z } from 'zod';
import { SERVICE_CLASS } from '@anvilpaddle/common';
import { RUN_STATE } from './constants';

/** One attempt to run a request at one sidecar; sent in a header, so that it precedes the body. */
export const attemptSchema = z.object({
  /** Id of the attempt. */
  attempt: z.string().min(1).max(80),
  /** Incarnation of the sidecar that the attempt is addressed to. */
  incarnation: z.string().min(1).max(80),
  /** Incarnation of the entry process that sends the attempt. */
  sender: z.string().min(1).max(80),
  /** Sequence number; increases with each attempt of the sender. */
  sequence: z.number().int().positive(),
  /** Id of the request. */
  request: z.string().min(1).max(80),
  team: z.string(),
  route: z.string(),
  serviceClass: z.enum(SERVICE_CLASS),
  /** Whether the request may run more than once. */
  idempotent: z.boolean(),
  /** Time left until the caller's deadline, in milliseconds. */
  timeLeftMs: z.number().positive(),
  method: z.string(),
  path: z.string(),
  model: z.string().optional(),
  /** Limit of output tokens, if the request sets one. */
  maxTokens: z.number().optional(),
  /** Headers for the upstream; must not contain credentials. */
  headers: z.record(z.string(), z.string()),
});
export type Attempt = z.infer<typeof attemptSchema>;

/** Encodes an attempt as a header value. */
export const getAttemptHeader = (attempt: Attempt): string =>
  Buffer.from(JSON.stringify(attempt)).toString('base64url');

/** Decodes an attempt from a header value; undefined when it is malformed. */
export const parseAttemptHeader = (header: unknown): Attempt | undefined => {
  if (typeof header !== 'string') return undefined;
  try {
    const parsed = attemptSchema.safeParse(JSON.parse(Buffer.from(header, 'base64url').toString()));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/** Reasons for which a sidecar refuses an attempt. */
export const REFUSAL_REASON = {
  stopping: 'stopping',
  overloaded: 'overloaded',
  deadline: 'deadline',
  duplicate: 'duplicate',
  /** Too old: the sidecar no longer stores whether a copy of the attempt ran. */
  expired: 'expired',
  revoked: 'revoked',
  incarnation: 'incarnation',
  malformed: 'malformed',
  upstreamFailed: 'upstream_failed',
} as const;
export type RefusalReason = (typeof REFUSAL_REASON)[keyof typeof REFUSAL_REASON];

/** Why a sidecar did not return an upstream's response. */
export const refusalSchema = z.object({
  reason: z.enum(REFUSAL_REASON),
  /** Whether the attempt ran at the upstream. */
  run: z.enum(RUN_STATE),
  retryAfterMs: z.number().optional(),
  detail: z.string().optional(),
});
export type Refusal = z.infer<typeof refusalSchema>;

/** Progress of an attempt at its sidecar. */
export const ATTEMPT_STATE = {
  /** Waiting for a slot. */
  queued: 'queued',
  /** Sent to the upstream. */
  sent: 'sent',
  done: 'done',
  revoked: 'revoked',
} as const;
export type AttemptState = (typeof ATTEMPT_STATE)[keyof typeof ATTEMPT_STATE];
