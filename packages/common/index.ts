/** Helpers without domain logic that all packages use. */
export * from './clock';
export * from './connectError';
export * from './constants';
export * from './eventTracker';
export * from './hashing';
export * from './http';
export * from './httpCall';
export * from './ids';
export * from './logging';
export * from './logStream';
export * from './mailbox';
export * from './manualClock';
export * from './metrics';
export * from './random';
export * from './responseEnd';
export * from './result';
export * from './units';
