/** Order of the unfinished jobs from which a sidecar claims its next chunk. */
import type { Random } from '@anvilpaddle/common';

/** An unfinished job, as far as its order matters. */
export interface OpenJob {
  readonly id: string;
  readonly team: string;
  /** Weight of the team when teams compete. */
  readonly weight: number;
  /** Wall time in ms by which the job should finish. */
  readonly dueAt: number;
  /** Number of items without a result, as far as is known. */
  readonly remaining: number;
}

/** Fraction of the choices that are made by team weight while no due time is at risk. */
const FAIR_FRACTION = 0.25;
/** A due time is at risk if the work due by then takes more than this fraction of the time left. */
const MAX_LOAD_FRACTION = 0.7;

const compareDue = (a: OpenJob, b: OpenJob): number => a.dueAt - b.dueAt || (a.id < b.id ? -1 : 1);

/** Whether some job may miss its due time unless jobs run strictly by due time. */
export const isDueTimeAtRisk = (
  jobs: readonly OpenJob[],
  itemsPerSecond: number,
  nowMs: number,
): boolean => {
  if (itemsPerSecond <= 0) return false;
  let neededMs = 0;
  return [...jobs].sort(compareDue).some(({ remaining, dueAt }) => {
    neededMs += (remaining / itemsPerSecond) * 1000;
    return neededMs > (dueAt - nowMs) * MAX_LOAD_FRACTION;
  });
};

/** Random job of a team that is picked by weight. */
const getFairJob = (jobs: readonly OpenJob[], random: Random): OpenJob | undefined => {
  const weights = new Map(jobs.map(({ team, weight }) => [team, weight]));
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  let left = random() * total;
  const [team] = [...weights].find(([, weight]) => {
    left -= weight;
    return left < 0;
  }) ?? [jobs[0]?.team];
  const candidates = jobs.filter((job) => job.team === team);
  return candidates[Math.floor(random() * candidates.length)];
};

/**
 * Jobs in the order in which to look for a chunk. The earliest due time goes first, which finishes
 * all in time whenever the work fits. While no due time is at risk, some choices first take a
 * random job of a team picked by weight, so that a large job does not delay small ones.
 */
export const getJobOrder = (
  jobs: readonly OpenJob[],
  itemsPerSecond: number,
  nowMs: number,
  random: Random,
): OpenJob[] => {
  const byDue = [...jobs].sort(compareDue);
  if (isDueTimeAtRisk(jobs, itemsPerSecond, nowMs) || random() >= FAIR_FRACTION) return byDue;
  const fairJob = getFairJob(jobs, random);
  return fairJob === undefined ? byDue : [fairJob, ...byDue.filter((job) => job !== fairJob)];
};
