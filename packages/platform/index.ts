export * from './errors';
export * from './platform';
export * from './types';
