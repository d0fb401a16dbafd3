import { z } from 'zod';
import {
  countSchema,
  durationSchema,
  flagSchema,
  numberSchema,
  sizeSchema,
} from '@anvilpaddle/common';

/** Each setting with its schema and its default as text; durations give ms, sizes give bytes. */
export const SETTINGS = {
  /** Requests a second that a team may make over all VMs together. */
  'limits.rate': { schema: numberSchema, defaultText: '10' },
  /** Requests that a team may make at once over all VMs together. */
  'limits.burst': { schema: numberSchema, defaultText: '20' },
  /** Share of service when teams compete. */
  'scheduling.weight': { schema: numberSchema, defaultText: '1' },
  /** Longest expected wait for a slot with which an online request is still accepted. */
  'scheduling.max_wait': { schema: durationSchema, defaultText: '5s' },
  /** Longest time from arrival to answer. */
  'request.timeout': { schema: durationSchema, defaultText: '120s' },
  'request.max_body': { schema: sizeSchema, defaultText: '4MiB' },
  'request.max_answer': { schema: sizeSchema, defaultText: '16MiB' },
  /** Tries of one idempotent request, the first included. */
  'retries.max_attempts': { schema: countSchema, defaultText: '3' },
  /** Retries allowed for each first try, averaged over time. */
  'retries.budget': { schema: numberSchema, defaultText: '0.1' },
  /** Largest file that may be uploaded. */
  'files.max_size': { schema: sizeSchema, defaultText: '512MiB' },
  'batch.enabled': { schema: flagSchema, defaultText: 'true' },
  /** Runs of one item before it ends with an error. */
  'batch.max_attempts': { schema: countSchema, defaultText: '3' },
  /** Time after which the chunk of a silent owner may be taken over. */
  'batch.lease': { schema: durationSchema, defaultText: '10s' },
  /** Longest time of one run of an item at the upstream. */
  'batch.item_timeout': { schema: durationSchema, defaultText: '10m' },
  /** Time for which items wait for a model that no upstream serves. */
  'batch.model_wait': { schema: durationSchema, defaultText: '10m' },
  /** Time in which a job is to finish when it names none. */
  'batch.completion_window': { schema: durationSchema, defaultText: '24h' },
  /** Time after which keys are refused by an entry that may have missed a withdrawal. */
  'keys.max_age': { schema: durationSchema, defaultText: '3s' },
} as const satisfies Readonly<Record<string, { schema: z.ZodType; defaultText: string }>>;

export type SettingName = keyof typeof SETTINGS;

/** Values of all settings, parsed. */
export type EffectiveSettings = {
  readonly [N in SettingName]: z.output<(typeof SETTINGS)[N]['schema']>;
};

/** Whether the text names a setting. */
export const isSettingName = (name: string): name is SettingName => Object.hasOwn(SETTINGS, name);
