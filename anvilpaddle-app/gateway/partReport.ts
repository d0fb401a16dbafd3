/**
 * Reports of prompt parts as gateways send them to each other and store them. Datagrams with them
 * are frequent, so they are checked by hand.
 */
import type { PartReport } from '@anvilpaddle/decisions';

const MAX_PART_CHARS = 64;
const MAX_UPSTREAM_CHARS = 32;
const MAX_CRASHES = 64;
/** Longest list of reports that is read of one sender. */
const MAX_REPORTS = 64;

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null;

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

const isText = (value: unknown, maxChars: number): boolean =>
  typeof value === 'string' && value.length > 0 && value.length <= maxChars;

const isCrash = (value: unknown): boolean =>
  Array.isArray(value) &&
  isText(value[0], MAX_UPSTREAM_CHARS) &&
  Number.isFinite(value[1]) &&
  value.slice(2).every(isCount);

/** Whether a value holds counts of losses; a gateway of an earlier version sends none. */
const isLossCounts = (value: unknown): boolean =>
  value === undefined ||
  (isObject(value) &&
    [value.losses, value.requests, value.runMs].every(
      (count) => Number.isFinite(count) && Number(count) >= 0,
    ));

const isPartReport = (value: unknown): value is PartReport =>
  isObject(value) &&
  isText(value.part, MAX_PART_CHARS) &&
  isCount(value.position) &&
  typeof value.isQuarantined === 'boolean' &&
  isCount(value.survivals) &&
  isObject(value.served) &&
  isCount(value.served.withPart) &&
  isCount(value.served.all) &&
  isLossCounts(value.otherLosses) &&
  Array.isArray(value.crashes) &&
  value.crashes.length <= MAX_CRASHES &&
  value.crashes.every(isCrash);

/** Parses one report; undefined when it is invalid. */
export const parsePartReport = (value: unknown): PartReport | undefined =>
  isPartReport(value) ? value : undefined;

/** Parses a peer's reports without the invalid ones; a peer of an earlier version sends none. */
export const parsePartReports = (value: unknown): PartReport[] =>
  Array.isArray(value) ? value.slice(0, MAX_REPORTS).filter(isPartReport) : [];
