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

const newQuantity = (units: Readonly<Record<string, number>>, what: string) =>
  z.string().transform((text, context) => {
    const value = parseQuantity(text, units);
    if (value !== undefined) return value;
    context.addIssue({
      code: 'custom',
      message: `expected ${what} with one of the units ${Object.keys(units).join(', ')}, got "${text}"`,
    });
    return z.NEVER;
  });

/** Schema of a duration such as `250ms` or `5s`; gives milliseconds. */
export const durationSchema = newQuantity(DURATION_UNITS, 'a duration');

/** Schema of a size such as `4MiB`; gives bytes. */
export const sizeSchema = newQuantity(SIZE_UNITS, 'a size');

/** Schema of a whole number written as text. */
export const countSchema = z
  .string()
  .regex(/^\d+$/, 'expected a whole number')
  .transform((text) => Number(text));

/** Schema of a decimal number written as text. */
export const numberSchema = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'expected a number')
  .transform((text) => Number(text));

/** Schema of `true` or `false` written as text. */
export const flagSchema = z
  .union([z.boolean(), z.enum(['true', 'false'])])
  .transform((value) => value === true || value === 'true');

/** Schema of a list separated by commas. */
export const listSchema = z.string().transform((text) =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== ''),
);
