export * from './attempt';
export * from './config';
export * from './constants';
export * from './errors';
export * from './messages';
