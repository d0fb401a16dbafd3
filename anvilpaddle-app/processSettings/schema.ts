import { z } from 'zod';
import {
  BYTES_PER_KIB,
  countSchema,
  durationSchema,
  parseAddress,
  formatAddress,
  listSchema,
  LOG_LEVELS,
  MS_PER_HOUR,
  MS_PER_SECOND,
  sizeSchema,
  type Address,
} from '@anvilpaddle/common';

const MAX_PORT = 65_535;

const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text);
  if (address !== undefined && address.port <= MAX_PORT) return address;
  context.addIssue({ code: 'custom', message: `expected HOST:PORT, got "${text}"` });
  return z.NEVER;
});

const isAddressText = (text: string): boolean => parseAddress(text) !== undefined;

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected a short name');
const KEY_HASH = /^[0-9a-f]{64}$/;
const secretsSchema = listSchema.refine(
  (secrets) => secrets.length >= 1 && secrets.length <= 2 && secrets.every((s) => s.length >= 16),
  'expected one secret, or two during a rotation, of at least 16 characters each',
);

const commonSections = {
  process: z.strictObject({
    /** Name of the VM that the process runs on. */
    vm: nameSchema,
    failure_domain: nameSchema,
    log_level: z.enum(LOG_LEVELS).default('info'),
    /**
     * Time from the start of a planned stop in which new work is still served, so that the balancer
     * (of an entry) or the entries (of a sidecar) can turn away first.
     */
    stop_grace: durationSchema.default(6000),
  }),
  platform: z.strictObject({
    url: z.url(),
    /** Longest wait for one answer of the platform. */
    timeout: durationSchema.default(2000),
    /** Time between two looks for newer configuration. */
    refresh: durationSchema.default(500),
    /** Time between two reads of the VM list. */
    list_refresh: durationSchema.default(1000),
  }),
  peers: z
    .strictObject({
      /** Address for messages between processes. */
      listen: addressSchema,
      /** Address told to other processes, when it differs from `listen`. */
      advertise: addressSchema.optional(),
      /** Fleet secrets; the first is sent, each is accepted. */
      secrets: secretsSchema,
      /** Addresses of other processes to ask when the platform's list cannot be read. */
      seeds: listSchema
        .refine((list) => list.every(isAddressText), 'expected HOST:PORT, separated by commas')
        .default([]),
      heartbeat: durationSchema.default(500),
      /** Silence after which a member is given no more work. */
      silence: durationSchema.default(2000),
    })
    .refine(({ heartbeat, silence }) => silence > heartbeat, {
      path: ['silence'],
      message: 'expected longer than heartbeat',
    }),
  metrics: z.strictObject({ statsd: addressSchema.optional() }).default({}),
};

/** Settings of an entry process. */
export const entrySettingsSchema = z
  .strictObject({
    ...commonSections,
    callers: z.strictObject({
      listen: addressSchema,
      /** Largest sum of a request's headers; 431 beyond it. */
      max_headers: sizeSchema.default(16 * BYTES_PER_KIB),
      /** Longest wait for a request's headers. */
      header_timeout: durationSchema.default(10 * MS_PER_SECOND),
      /** Longest time in which a request's body may come in, uploads included. */
      body_timeout: durationSchema.default(MS_PER_HOUR),
    }),
    operators: z.strictObject({
      /** SHA-256 of the operators' key in hex; two during a rotation. */
      key_hash: listSchema.refine(
        (hashes) =>
          hashes.length >= 1 && hashes.length <= 2 && hashes.every((hash) => KEY_HASH.test(hash)),
        'expected one hash, or two during a rotation, of 64 hexadecimal digits each',
      ),
    }),
  })
  .refine(({ callers, peers }) => formatAddress(callers.listen) !== formatAddress(peers.listen), {
    path: ['callers', 'listen'],
    message: 'expected another address than [peers] listen',
  });
export type EntrySettings = z.output<typeof entrySettingsSchema>;

export const UPSTREAM_KIND = { engine: 'engine', plain: 'plain' } as const;

/** Settings of a sidecar process. */
export const sidecarSettingsSchema = z.strictObject({
  ...commonSections,
  upstream: z
    .strictObject({
      url: z.url(),
      kind: z.enum(UPSTREAM_KIND),
      /** Group that routes name. */
      group: nameSchema,
      /** Requests that the upstream works on together. */
      slots: countSchema.pipe(z.number().positive()),
      /** Slots that batch work leaves free. */
      reserve: countSchema.default(0),
      /** Batch items at the upstream together; all of `slots` when missing. */
      batch_slots: countSchema.optional(),
    })
    .refine(({ slots, reserve }) => reserve < slots, {
      path: ['reserve'],
      message: 'expected fewer than slots',
    }),
});
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
