/** Interfaces to the platform's services and their clients over HTTP. */
export * from './errors';
export * from './httpClient';
export * from './platform';
export * from './recordStore';
export * from './types';
