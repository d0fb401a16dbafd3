/** Messages and data formats that the processes of the system exchange. */
export * from './attempt';
export * from './config';
export * from './constants';
export * from './errors';
export * from './messages';
