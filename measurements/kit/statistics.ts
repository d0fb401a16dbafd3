/** Statistics of samples, and a random variate. */
/** Value below which a fraction of the sample lies; NaN for an empty sample. */
export const getQuantile = (sample: readonly number[], fraction: number): number => {
  const sorted = [...sample].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN;
};

/** Arithmetic mean. */
export const getMean = (sample: readonly number[]): number =>
  sample.reduce((sum, value) => sum + value, 0) / sample.length;

/** Mean with minimum and maximum, as in `1.02 (0.98 to 1.07)`. */
export const getSpread = (sample: readonly number[], digits = 2): string => {
  const format = (value: number): string => value.toFixed(digits);
  return `${format(getMean(sample))} (${format(Math.min(...sample))} to ${format(Math.max(...sample))})`;
};

/** Fits a line to points by least squares. */
export const fitLine = (
  points: readonly (readonly [number, number])[],
): { readonly slope: number; readonly intercept: number } => {
  const meanX = getMean(points.map(([x]) => x));
  const meanY = getMean(points.map(([, y]) => y));
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
};

/** Exponentially distributed value with the given mean, from a uniform number in [0, 1). */
export const getExponential = (mean: number, uniform: number): number =>
  -Math.log(1 - uniform) * mean;
