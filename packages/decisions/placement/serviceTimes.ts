/** Measured durations of online requests. */

/** Mean durations of requests per service, and the slowness of each upstream relative to it. */
export interface ServiceTimes {
  /** Records the duration of a request that found a free slot at an upstream. */
  learn(service: string, upstream: string, durationMs: number): void;
  /** Mean duration of a request of a service, in milliseconds. */
  getServiceMeanMs(service: string): number;
  /** Mean duration of a request at an upstream of a service, in milliseconds. */
  getUpstreamMeanMs(service: string, upstream: string): number;
  /** Drops the upstreams that are not in the set. */
  retain(upstreams: ReadonlySet<string>): void;
}

/** Assumed mean duration of a request of a service before any was measured. */
const INITIAL_SERVICE_MEAN_MS = 500;
/** Weight of a new sample in a service's moving average. */
const SERVICE_SMOOTHING_FACTOR = 0.05;
/**
 * Weight of a new sample in an upstream's moving average. Small, since requests differ more in size
 * than upstreams do in speed.
 */
const UPSTREAM_SMOOTHING_FACTOR = 0.08;
/** Bounds of one sample of an upstream's slowness, so that one odd request has little effect. */
const MIN_SAMPLE_FACTOR = 0.4;
const MAX_SAMPLE_FACTOR = 2.5;

const getSmoothed = (mean: number, sample: number, smoothingFactor: number): number =>
  mean + (sample - mean) * smoothingFactor;

/** Creates service times without samples. */
export const newServiceTimes = (): ServiceTimes => {
  const serviceMeansMs = new Map<string, number>();
  /** Duration at an upstream as a multiple of its service's mean. */
  const slownessFactors = new Map<string, number>();

  const getServiceMeanMs = (service: string): number =>
    serviceMeansMs.get(service) ?? INITIAL_SERVICE_MEAN_MS;

  return {
    learn: (service, upstream, durationMs) => {
      const known = serviceMeansMs.get(service) ?? durationMs;
      const mean = getSmoothed(known, durationMs, SERVICE_SMOOTHING_FACTOR);
      serviceMeansMs.set(service, mean);
      const sample = Math.min(MAX_SAMPLE_FACTOR, Math.max(MIN_SAMPLE_FACTOR, durationMs / mean));
      slownessFactors.set(
        upstream,
        getSmoothed(slownessFactors.get(upstream) ?? 1, sample, UPSTREAM_SMOOTHING_FACTOR),
      );
    },
    getServiceMeanMs,
    getUpstreamMeanMs: (service, upstream) =>
      getServiceMeanMs(service) * (slownessFactors.get(upstream) ?? 1),
    retain: (upstreams) => {
      slownessFactors.forEach((_, upstream) => {
        if (!upstreams.has(upstream)) slownessFactors.delete(upstream);
      });
    },
  };
};
