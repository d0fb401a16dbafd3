/** All settings, with their schemas and defaults. */
import { z } from 'zod';
import {
  countSchema,
  durationSchema,
  flagSchema,
  numberSchema,
  sizeSchema,
} from '@anvilpaddle/common';

/** Schema and default, as text, of each setting; parsed durations are in ms, sizes in bytes. */
export const SETTINGS = {
  /** Requests per second that a team may make across all VMs. */
  'limits.rate': { schema: numberSchema, defaultText: '10' },
  /** Requests that a team may make in a burst across all VMs. */
  'limits.burst': { schema: numberSchema, defaultText: '20' },
  /** Relative share of service that a team gets when teams compete. */
  'scheduling.weight': { schema: numberSchema, defaultText: '1' },
  /** Longest expected wait for a slot at which an online request is still accepted. */
  'scheduling.max_wait': { schema: durationSchema, defaultText: '5s' },
  /** Longest time from the arrival of a request to its response. */
  'request.timeout': { schema: durationSchema, defaultText: '120s' },
  'request.max_body': { schema: sizeSchema, defaultText: '4MiB' },
  'request.max_answer': { schema: sizeSchema, defaultText: '16MiB' },
  /** Attempts of one idempotent request, including the first. */
  'retries.max_attempts': { schema: countSchema, defaultText: '3' },
  /** Allowed retries per first attempt, averaged over time. */
  'retries.budget': { schema: numberSchema, defaultText: '0.1' },
  /** Maximum size of an uploaded file. */
  'files.max_size': { schema: sizeSchema, defaultText: '512MiB' },
  'batch.enabled': { schema: flagSchema, defaultText: 'true' },
  /** Attempts of one item before it ends with an error. */
  'batch.max_attempts': { schema: countSchema, defaultText: '3' },
  /** Time without a sign of life from its owner after which a chunk may be taken over. */
  'batch.lease': { schema: durationSchema, defaultText: '10s' },
  /** Timeout of one attempt of an item at the upstream. */
  'batch.item_timeout': { schema: durationSchema, defaultText: '10m' },
  /** How long items wait for a model that no upstream serves. */
  'batch.model_wait': { schema: durationSchema, defaultText: '10m' },
  /** Time in which a job should finish, unless the job specifies another. */
  'batch.completion_window': { schema: durationSchema, defaultText: '24h' },
  /** Time after which an entry process that may have missed a revocation refuses API keys. */
  'keys.max_age': { schema: durationSchema, defaultText: '3s' },
} as const satisfies Readonly<Record<string, { schema: z.ZodType; defaultText: string }>>;

/** Name of a setting. */
export type SettingName = keyof typeof SETTINGS;

/** Parsed values of all settings. */
export type EffectiveSettings = {
  readonly [N in SettingName]: z.output<(typeof SETTINGS)[N]['schema']>;
};

/** Whether a text is the name of a setting. */
export const isSettingName = (name: string): name is SettingName => Object.hasOwn(SETTINGS, name);
