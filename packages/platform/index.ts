export * from './errors';
export * from './httpClient';
export * from './platform';
export * from './recordStore';
export * from './types';
