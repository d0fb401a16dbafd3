import type { Random } from '@anvilpaddle/common';

/** An unfinished job as the choice of the next chunk sees it. */
export interface OpenJob {
  readonly id: string;
  readonly team: string;
  /** Share of service when teams compete. */
  readonly weight: number;
  /** Wall time in ms by which it is to finish. */
  readonly dueAt: number;
  /** Items without a result, as far as is known. */
  readonly remaining: number;
}

/** Share of the choices that go round the teams while no job is pressed for time. */
const SHARED_CHOICES = 0.25;
/** A job is pressed for time when the work due by then takes this part of the time left. */
const PRESSED = 0.7;

const compareDue = (a: OpenJob, b: OpenJob): number => a.dueAt - b.dueAt || (a.id < b.id ? -1 : 1);

/** Whether the jobs can't all be sure to finish in time unless the earliest goes first. */
export const areDeadlinesAtRisk = (
  jobs: readonly OpenJob[],
  itemsPerSecond: number,
  nowMs: number,
): boolean => {
  if (itemsPerSecond <= 0) return false;
  let neededMs = 0;
  return [...jobs].sort(compareDue).some(({ remaining, dueAt }) => {
    neededMs += (remaining / itemsPerSecond) * 1000;
    return neededMs > (dueAt - nowMs) * PRESSED;
  });
};

const getShared = (jobs: readonly OpenJob[], random: Random): OpenJob | undefined => {
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
 * Jobs in the order in which to look for a chunk. The earliest due date goes first, which finishes
 * all in time whenever the work fits. While that is safe, some choices go round the teams by
 * weight and round each team's jobs, so that a large job does not hold up small ones.
 */
export const getJobOrder = (
  jobs: readonly OpenJob[],
  itemsPerSecond: number,
  nowMs: number,
  random: Random,
): OpenJob[] => {
  const byDue = [...jobs].sort(compareDue);
  if (areDeadlinesAtRisk(jobs, itemsPerSecond, nowMs) || random() >= SHARED_CHOICES) return byDue;
  const shared = getShared(jobs, random);
  return shared === undefined ? byDue : [shared, ...byDue.filter((job) => job !== shared)];
};
