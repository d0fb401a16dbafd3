/** Units and service classes that all packages use. */

/** Milliseconds in larger units of time. */
export const MS_PER_SECOND = 1000;
export const MS_PER_MINUTE = 60 * MS_PER_SECOND;
export const MS_PER_HOUR = 60 * MS_PER_MINUTE;
export const MS_PER_DAY = 24 * MS_PER_HOUR;

/** Bytes in binary units of size. */
export const BYTES_PER_KIB = 1024;
export const BYTES_PER_MIB = 1024 * BYTES_PER_KIB;

/** Service classes of requests, as written in messages and metrics. */
export const SERVICE_CLASS = { online: 'online', batch: 'batch' } as const;
export type ServiceClass = (typeof SERVICE_CLASS)[keyof typeof SERVICE_CLASS];
