/** Printing of the measurements, and the statistics that they print. */
import type { SimulationResult } from '../schedulingSimulation';

/** Prints a line. */
export const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Mean of some numbers. */
export const getMean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0) / numbers.length;

/** Formats the mean, minimum and maximum over the seeds. */
export const getSpread = (numbers: readonly number[], digits = 2): string =>
  `${getMean(numbers).toFixed(digits)} (${Math.min(...numbers).toFixed(digits)}..${Math.max(...numbers).toFixed(digits)})`;

/** Times to the first token of the requests that got one. */
export const getFirstTokenTimes = ({ samples }: SimulationResult): number[] =>
  samples.flatMap(({ firstTokenMs, arrivedMs }) =>
    firstTokenMs === undefined ? [] : [firstTokenMs - arrivedMs],
  );

/** Sum of some numbers. */
export const sum = (numbers: Iterable<number>): number => [...numbers].reduce((a, b) => a + b, 0);
