/** Schemas of the settings files of entry and sidecar processes. */
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

const isAddress = (text: string): boolean => parseAddress(text) !== undefined;

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected a short name');
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
const secretsSchema = listSchema.refine(
  (secrets) => secrets.length >= 1 && secrets.length <= 2 && secrets.every((s) => s.length >= 16),
  'expected one secret, or two during a rotation, of at least 16 characters each',
);

const commonSections = {
  process: z.strictObject({
    /** Name of the VM on which the process runs. */
    vm: nameSchema,
    failure_domain: nameSchema,
    log_level: z.enum(LOG_LEVELS).default('info'),
    /**
     * Time from the start of a planned stop during which new work is still served, so that the load
     * balancer (of an entry) or the entries (of a sidecar) stop sending work before it is refused.
     */
    stop_grace: durationSchema.default(6000),
  }),
  platform: z.strictObject({
    url: z.url(),
    /** Timeout of a call to the platform. */
    timeout: durationSchema.default(2000),
    /** Interval at which the process checks for newer configuration. */
    refresh: durationSchema.default(500),
    /** Interval at which the VM list is read. */
    list_refresh: durationSchema.default(1000),
  }),
  peers: z
    .strictObject({
      /** Address on which messages from other processes are received. */
      listen: addressSchema,
      /** Address that other processes use, when it differs from `listen`. */
      advertise: addressSchema.optional(),
      /** Fleet secrets: the first is sent, all are accepted. */
      secrets: secretsSchema,
      /** Addresses of processes to contact when the VM list of the platform cannot be read. */
      seeds: listSchema
        .refine((list) => list.every(isAddress), 'expected HOST:PORT, separated by commas')
        .default([]),
      /** Interval between heartbeats to one process. */
      heartbeat: durationSchema.default(500),
      /** Time without a heartbeat after which a member gets no more work. */
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
      /** Maximum size of all headers of a request; a larger request gets status 431. */
      max_headers: sizeSchema.default(16 * BYTES_PER_KIB),
      /** Time within which the headers of a request must arrive. */
      header_timeout: durationSchema.default(10 * MS_PER_SECOND),
      /** Time within which the body of a request must arrive, including uploads. */
      body_timeout: durationSchema.default(MS_PER_HOUR),
    }),
    operators: z.strictObject({
      /** SHA-256 of the operator key in hexadecimal; two hashes during a rotation. */
      key_hash: listSchema.refine(
        (hashes) =>
          hashes.length >= 1 &&
          hashes.length <= 2 &&
          hashes.every((hash) => KEY_HASH_PATTERN.test(hash)),
        'expected one hash, or two during a rotation, of 64 hexadecimal digits each',
      ),
    }),
  })
  .refine(({ callers, peers }) => formatAddress(callers.listen) !== formatAddress(peers.listen), {
    path: ['callers', 'listen'],
    message: 'expected another address than [peers] listen',
  });
/** Validated settings of an entry process. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;

/** Kinds of upstreams: inference engines and plain HTTP services. */
export const UPSTREAM_KIND = { engine: 'engine', plain: 'plain' } as const;

/** Settings of a sidecar process. */
export const sidecarSettingsSchema = z.strictObject({
  ...commonSections,
  upstream: z
    .strictObject({
      url: z.url(),
      kind: z.enum(UPSTREAM_KIND),
      /** Upstream group, by which routes refer to the upstream. */
      group: nameSchema,
      /** Requests that the upstream processes concurrently. */
      slots: countSchema.pipe(z.number().positive()),
      /** Slots reserved for online requests: batch work leaves them free. */
      reserve: countSchema.default(0),
      /** Maximum of concurrent batch items; `slots` when missing. */
      batch_slots: countSchema.optional(),
    })
    .refine(({ slots, reserve }) => reserve < slots, {
      path: ['reserve'],
      message: 'expected fewer than slots',
    }),
});
/** Validated settings of a sidecar process. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
