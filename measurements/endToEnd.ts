/** End-to-end measurement of the running fleet, beside the same fleet with baseline policies. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { newSeededRandom } from '@anvilpaddle/common';
import { newFleet, type Fleet, type FleetProcess } from 'anvilpaddle-app/tests/kit/fleet';
import { startLoadGenerator, type Sample, type TeamTraffic } from './kit/loadGenerator';
import { getQuantile, getSpread } from './kit/statistics';
import { printTable } from './kit/table';

const SEEDS = [21, 22, 23, 24, 25] as const;
const SLOTS = 8;
const PREFILL_MS = 100;
const TOKEN_MS = 20;
const ONLINE_TOKENS = 20;
const BATCH_TOKENS = 20;
/** Time that an engine takes for a batch item or an online request. */
const ITEM_MS = PREFILL_MS + TOKEN_MS * BATCH_TOKENS;
/** Online requests as a fraction of the capacity. */
const ONLINE_FRACTION = 0.5;
/** Usual traffic of a team as a fraction of its rate limit. */
const RATE_UTILIZATION = 0.9;
/** Traffic of the last team as a multiple of its usual traffic. */
const EXCESS_FACTOR = 10;
/** Time after which the platform's list no longer names a lost VM. */
const LIST_LAG_MS = 2000;
/** Time after which a team prefers another entry. */
const SKEW_PERIOD_MS = 3000;
const PHASE_MS = { quiet: 5000, batch: 6000, sidecarLost: 6000, entryLost: 6000 } as const;
type Phase = keyof typeof PHASE_MS;

/** Number of processes, and each team's fraction of the online traffic. */
interface Deployment {
  readonly title: string;
  readonly engines: number;
  readonly entries: number;
  readonly shares: readonly number[];
}

const DEPLOYMENTS: readonly Deployment[] = [
  {
    title: 'association: 6 language-model workers, 8 teams',
    engines: 6,
    entries: 3,
    shares: [0.25, 0.25, 0.2, 0.1, 0.08, 0.06, 0.04, 0.02],
  },
  {
    title: 'Blue Mahoe: 12 language-model workers, 8 teams',
    engines: 12,
    entries: 3,
    shares: [0.3, 0.2, 0.2, 0.1, 0.08, 0.06, 0.04, 0.02],
  },
];

/** Bundles to measure; undefined is the product's own. */
const VARIANTS = { naive: 'dist/naive.cjs', anvilpaddle: undefined } as const;
type Variant = keyof typeof VARIANTS;

/** Measured values of one run. */
interface RunResult {
  /** Batch tokens as a fraction of those that the slots left by online requests allow, by phase. */
  readonly batchFraction: Readonly<Record<Phase, number>>;
  readonly firstTokenMs: Readonly<Record<Phase, { readonly p95: number; readonly p99: number }>>;
  /** Complete responses of the worst-served team within its rate, as a fraction of its requests. */
  readonly worstTeamFraction: Readonly<Record<Phase, number>>;
  /** Refusals of teams within their rate, as a fraction of their requests. */
  readonly wrongfulRefusals: Readonly<Record<Phase, number>>;
}

const PHASES = Object.keys(PHASE_MS) as Phase[];

const mapPhases = <T>(get: (phase: Phase) => T): Readonly<Record<Phase, T>> =>
  Object.fromEntries(PHASES.map((phase) => [phase, get(phase)])) as Record<Phase, T>;

const getTeamName = (index: number): string => `team-${index}`;
/** Whether the team is the last one, which sends `EXCESS_FACTOR` times its usual traffic. */
const exceedsRate = (team: string, { shares }: Deployment): boolean =>
  team === getTeamName(shares.length - 1);

const newTraffic = async (fleet: Fleet, deployment: Deployment): Promise<TeamTraffic[]> => {
  const capacity = (deployment.engines * SLOTS * 1000) / ITEM_MS;
  const traffic: TeamTraffic[] = [];
  for (const [index, share] of deployment.shares.entries()) {
    const team = getTeamName(index);
    const usualRequestsPerSecond = capacity * ONLINE_FRACTION * share;
    const rate = usualRequestsPerSecond / RATE_UTILIZATION;
    const burst = Math.max(4, rate * 2);
    const key = await fleet.createTeam(team, {
      'limits.rate': String(rate),
      'limits.burst': String(burst),
    });
    const factor = exceedsRate(team, deployment) ? EXCESS_FACTOR : 1;
    const requestsPerSecond = usualRequestsPerSecond * factor;
    traffic.push({ team, key, requestsPerSecond, maxTokens: ONLINE_TOKENS, rate: { rate, burst } });
  }
  return traffic;
};

const submitJob = async (fleet: Fleet, key: string, items: number): Promise<void> => {
  const url = fleet.entries[0]?.url ?? '';
  const newItemLine = (index: number): string =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: {
        model: 'small-chat',
        max_tokens: BATCH_TOKENS,
        messages: [{ role: 'user', content: `Dossier ${index}` }],
      },
    });
  const form = new FormData();
  form.append('purpose', 'batch');
  form.append(
    'file',
    new Blob([Array.from({ length: items }, (_, i) => newItemLine(i)).join('\n')]),
    'f',
  );
  const headers = { authorization: `Bearer ${key}` };
  const file = await fetch(`${url}/v1/files`, { method: 'POST', headers, body: form });
  const { id } = (await file.json()) as { id: string };
  const created = await request(`${url}/v1/batches`, {
    method: 'POST',
    headers: { ...headers, 'content-type': 'application/json' },
    body: JSON.stringify({
      input_file_id: id,
      endpoint: '/v1/chat/completions',
      completion_window: '24h',
    }),
  });
  if (created.statusCode !== 200) throw new Error(`batch refused: ${await created.body.text()}`);
  await created.body.dump();
};

/** Tokens of all finished online requests and batch items so far. */
const getTokens = (fleet: Fleet): { readonly online: number; readonly batch: number } => {
  const sum = (isBatch: boolean): number =>
    fleet.engines
      .flatMap(({ requests: records }) => records)
      .filter(
        ({ attempt, state }) => attempt.startsWith('att_') !== isBatch && state === 'finished',
      )
      .reduce((total, { tokens }) => total + tokens, 0);
  return { online: sum(false), batch: sum(true) };
};

/** Selects a phase's samples within the rate, except those of the team that exceeds its rate. */
const isCounted =
  (deployment: Deployment, phase: Phase) =>
  (sample: Sample): boolean =>
    sample.phase === phase && sample.isWithinRate && !exceedsRate(sample.team, deployment);

/** Fraction of complete responses of the team with the smallest one. */
const getWorstTeamFraction = (
  samples: readonly Sample[],
  deployment: Deployment,
  phase: Phase,
): number => {
  const counted = samples.filter(isCounted(deployment, phase));
  const teams = [...new Set(counted.map(({ team }) => team))];
  return Math.min(
    ...teams.map((team) => {
      const ofTeam = counted.filter((sample) => sample.team === team);
      return ofTeam.filter(({ isComplete }) => isComplete).length / ofTeam.length;
    }),
  );
};

/** Kills a node; the platform's list names its VM for another `LIST_LAG_MS`. */
const killNode = async (fleet: Fleet, node: FleetProcess | undefined): Promise<void> => {
  await node?.process.kill();
  const remainingVms = fleet.vms.filter(({ vm }) => vm !== node?.vm);
  setTimeout(() => fleet.platform.setVms(remainingVms), LIST_LAG_MS);
};

/** Runs all phases on a new fleet. */
const runOnce = async (
  deployment: Deployment,
  variant: Variant,
  seed: number,
): Promise<RunResult> => {
  const bundle = VARIANTS[variant];
  const fleet = await newFleet({
    entries: deployment.entries,
    engines: deployment.engines,
    plainUpstreams: 0,
    engine: { slots: SLOTS, prefillMs: PREFILL_MS, tokenMs: TOKEN_MS },
    ini: { peers: { heartbeat: '500ms', silence: '2s' }, platform: { refresh: '500ms' } },
    ...(bundle !== undefined && { bundle }),
  });
  const traffic = await newTraffic(fleet, deployment);
  const random = newSeededRandom(seed);
  let entries = [...fleet.entries];
  const startMs = performance.now();
  // Each team sends four in five requests to one entry, and prefers another after `SKEW_PERIOD_MS`.
  const chooseEntryUrl = (team: string): string | undefined => {
    const period = Math.floor((performance.now() - startMs) / SKEW_PERIOD_MS);
    const preferredEntry = entries[(Number(team.split('-')[1]) + period) % entries.length];
    const other = entries[Math.floor(random() * entries.length)];
    return (random() < 0.8 ? preferredEntry : other)?.url;
  };
  const loadGenerator = startLoadGenerator(traffic, chooseEntryUrl, random, 'quiet');
  const jobKey = await fleet.createTeam('reports', { 'limits.rate': '100', 'limits.burst': '100' });
  const batchFraction: Partial<Record<Phase, number>> = {};
  for (const phase of PHASES) {
    loadGenerator.setPhase(phase);
    if (phase === 'batch') await submitJob(fleet, jobKey, deployment.engines * 1200);
    if (phase === 'sidecarLost') await killNode(fleet, fleet.sidecars.at(-1));
    if (phase === 'entryLost') {
      entries = entries.slice(0, -1);
      await killNode(fleet, fleet.entries.at(-1));
    }
    const before = getTokens(fleet);
    await sleep(PHASE_MS[phase]);
    const after = getTokens(fleet);
    const engines = deployment.engines - (phase === 'sidecarLost' || phase === 'entryLost' ? 1 : 0);
    const maxBatchTokens = (engines * SLOTS * BATCH_TOKENS * PHASE_MS[phase]) / ITEM_MS;
    const spareTokens = maxBatchTokens - (after.online - before.online);
    batchFraction[phase] = (after.batch - before.batch) / spareTokens;
  }
  const samples = await loadGenerator.stop();
  await fleet.close();
  return {
    batchFraction: batchFraction as Record<Phase, number>,
    firstTokenMs: mapPhases((phase) => {
      const firstTokenTimes = samples
        .filter(isCounted(deployment, phase))
        .map(({ firstTokenMs }) => firstTokenMs)
        .filter((value) => !Number.isNaN(value));
      return { p95: getQuantile(firstTokenTimes, 0.95), p99: getQuantile(firstTokenTimes, 0.99) };
    }),
    worstTeamFraction: mapPhases((phase) => getWorstTeamFraction(samples, deployment, phase)),
    wrongfulRefusals: mapPhases((phase) => {
      const counted = samples.filter(isCounted(deployment, phase));
      return counted.filter(({ status }) => status === 429).length / counted.length;
    }),
  };
};

const getRows = (results: Readonly<Record<Variant, readonly RunResult[]>>) =>
  (Object.keys(results) as Variant[]).flatMap((variant) =>
    (['batch', 'sidecarLost', 'entryLost'] as const).map((phase) => {
      const runs = results[variant];
      const getFirstTokenRatio = (quantile: 'p95' | 'p99'): string =>
        getSpread(
          runs.map((run) => run.firstTokenMs[phase][quantile] / run.firstTokenMs.quiet[quantile]),
        );
      return {
        version: variant,
        phase: { batch: 'healthy', sidecarLost: 'a sidecar lost', entryLost: 'an entry lost too' }[
          phase
        ],
        'batch of the spare': getSpread(runs.map((run) => run.batchFraction[phase])),
        'first token p95, with / without batch': getFirstTokenRatio('p95'),
        p99: getFirstTokenRatio('p99'),
        'worst-served team': getSpread(runs.map((run) => run.worstTeamFraction[phase])),
        'refused within the rate': getSpread(
          runs.map((run) => run.wrongfulRefusals[phase]),
          4,
        ),
      };
    }),
  );

/**
 * Prints batch throughput, time to first token, fairness and wrongful refusals for both deployments,
 * beside the fleet with baseline policies on the same seeds.
 */
export const measureEndToEnd = async (): Promise<void> => {
  for (const deployment of DEPLOYMENTS) {
    const results: Record<Variant, RunResult[]> = { naive: [], anvilpaddle: [] };
    for (const seed of SEEDS) {
      for (const variant of Object.keys(VARIANTS) as Variant[]) {
        results[variant].push(await runOnce(deployment, variant, seed));
      }
    }
    printTable(`Four measures: ${deployment.title}, ${SEEDS.length} seeds`, getRows(results));
  }
};
