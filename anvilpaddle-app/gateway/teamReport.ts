/** Slots of teams as gateways report them to each other, checked by hand. */
import type { HeldSlots } from '@anvilpaddle/decisions';

/** Service, team, priority, and the number of running online requests. */
export type EncodedHeldSlots = readonly [string, string, number, number];

/** Longest name of a service or team. */
const MAX_NAME_CHARS = 256;
/** Longest list that is read of one sender. */
const MAX_ENTRIES = 1000;

const isName = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_CHARS;

const isHeldSlots = (value: unknown): value is EncodedHeldSlots =>
  Array.isArray(value) &&
  isName(value[0]) &&
  isName(value[1]) &&
  Number.isFinite(value[2]) &&
  Number.isSafeInteger(value[3]) &&
  value[3] > 0;

/** Encodes slots for a datagram; undefined, so that the field is left out, if there are none. */
export const encodeHeldSlots = (held: readonly HeldSlots[]): EncodedHeldSlots[] | undefined =>
  held.length === 0
    ? undefined
    : held.map(({ service, team, priority, slots }) => [service, team, priority, slots]);

const NONE: readonly HeldSlots[] = [];

/** Decodes a peer's entries without the invalid ones; many peers send none. */
export const decodeHeldSlots = (value: unknown): readonly HeldSlots[] => {
  if (!Array.isArray(value)) return NONE;
  return value
    .slice(0, MAX_ENTRIES)
    .filter(isHeldSlots)
    .map(([service, team, priority, slots]) => ({ service, team, priority, slots }));
};
