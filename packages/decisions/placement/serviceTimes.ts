/** Mean times of requests by service, and how much slower or faster each upstream is than its service. */
export interface ServiceTimes {
  /** A request that found a free slot at an upstream took a time in milliseconds. */
  learn(service: string, upstream: string, durationMs: number): void;
  /** Mean time of a request of a service, in milliseconds. */
  getServiceMeanMs(service: string): number;
  /** Mean time of a request at an upstream of a service, in milliseconds. */
  getUpstreamMeanMs(service: string, upstream: string): number;
  /** Forgets upstreams that are gone. */
  retain(upstreams: ReadonlySet<string>): void;
}

/** Mean time of a request before any was measured. */
const FIRST_SERVICE_MS = 500;
const SERVICE_SAMPLE_SHARE = 0.05;
/** Requests differ in size by more than upstreams do in speed. */
const UPSTREAM_SAMPLE_SHARE = 0.08;
/** Bounds of one request's part in its upstream's factor, so that a single size does not decide. */
const LEAST_FACTOR = 0.4;
const LARGEST_FACTOR = 2.5;

const getMoved = (mean: number, sample: number, share: number): number =>
  mean + (sample - mean) * share;

/** Times of which none is known. */
export const newServiceTimes = (): ServiceTimes => {
  const serviceMs = new Map<string, number>();
  /** Time at an upstream as a multiple of its service's. */
  const factors = new Map<string, number>();

  const getServiceMs = (service: string): number => serviceMs.get(service) ?? FIRST_SERVICE_MS;

  return {
    learn: (service, upstream, durationMs) => {
      const known = serviceMs.get(service) ?? durationMs;
      const mean = getMoved(known, durationMs, SERVICE_SAMPLE_SHARE);
      serviceMs.set(service, mean);
      const sample = Math.min(LARGEST_FACTOR, Math.max(LEAST_FACTOR, durationMs / mean));
      factors.set(upstream, getMoved(factors.get(upstream) ?? 1, sample, UPSTREAM_SAMPLE_SHARE));
    },
    getServiceMeanMs: getServiceMs,
    getUpstreamMeanMs: (service, upstream) => getServiceMs(service) * (factors.get(upstream) ?? 1),
    retain: (upstreams) => {
      factors.forEach((_, upstream) => {
        if (!upstreams.has(upstream)) factors.delete(upstream);
      });
    },
  };
};
