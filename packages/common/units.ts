/** Schemas that parse setting values, which are written as text with units. */
import { z } from 'zod';
import {
  BYTES_PER_KIB,
  BYTES_PER_MIB,
  MS_PER_HOUR,
  MS_PER_MINUTE,
  MS_PER_SECOND,
  MS_PER_DAY,
} from './constants';

const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1,
  s: MS_PER_SECOND,
  m: MS_PER_MINUTE,
  h: MS_PER_HOUR,
  d: MS_PER_DAY,
};

const SIZE_UNITS: Readonly<Record<string, number>> = {
  B: 1,
  KiB: BYTES_PER_KIB,
  MiB: BYTES_PER_MIB,
  GiB: 1024 * BYTES_PER_MIB,
};

const parseQuantity = (
  text: string,
  units: Readonly<Record<string, number>>,
): number | undefined => {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text.trim());
  const factor = match?.[2] === undefined ? undefined : units[match[2]];
  if (match === null || factor === undefined) return undefined;
  return Number(match[1]) * factor;
};

const newQuantitySchema = (units: Readonly<Record<string, number>>, quantityName: string) =>
  z.string().transform((text, context) => {
    const value = parseQuantity(text, units);
    if (value !== undefined) return value;
    context.addIssue({
      code: 'custom',
      message: `expected ${quantityName} with one of the units ${Object.keys(units).join(', ')}, got "${text}"`,
    });
    return z.NEVER;
  });

/** Parses a duration such as `250ms` or `5s` into milliseconds. */
export const durationSchema = newQuantitySchema(DURATION_UNITS, 'a duration');

/** Parses a size such as `4MiB` into bytes. */
export const sizeSchema = newQuantitySchema(SIZE_UNITS, 'a size');

/** Parses a non-negative integer. */
export const countSchema = z
  .string()
  .regex(/^\d+$/, 'expected a whole number')
  .transform((text) => Number(text));

/** Parses a non-negative decimal number. */
export const numberSchema = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'expected a number')
  .transform((text) => Number(text));

/** Parses `true` or `false`; accepts a boolean as well. */
export const flagSchema = z
  .union([z.boolean(), z.enum(['true', 'false'])])
  .transform((value) => value === true || value === 'true');

/** Parses a comma-separated list; empty items are skipped. */
export const listSchema = z.string().transform((text) =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== ''),
);
