/** Messages between processes, by method. */
import type { z } from 'zod';
import { ATTEMPT_METHODS } from './attempts';
import { CONFIG_METHODS } from './config';
import { JOB_METHODS } from './jobs';
import { LIMIT_METHODS } from './limits';
import { MEMBER_METHODS } from './members';

export * from './attempts';
export * from './config';
export * from './jobs';
export * from './limits';
export * from './members';

/** All methods that processes call on each other, with the schemas of parameters and results. */
export const METHODS = {
  ...ATTEMPT_METHODS,
  ...CONFIG_METHODS,
  ...JOB_METHODS,
  ...LIMIT_METHODS,
  ...MEMBER_METHODS,
} as const;
export type Methods = typeof METHODS;
export type Method = keyof Methods;
/** Parameters of a method. */
export type MethodParams<M extends Method> = z.infer<Methods[M]['params']>;
/** Result of a method. */
export type MethodResult<M extends Method> = z.infer<Methods[M]['result']>;
