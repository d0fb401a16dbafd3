import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { newSeededRandom } from '@anvilpaddle/common';
import { newFleet, type Fleet, type Node } from 'anvilpaddle-app/tests/kit/fleet';
import { startLoadGenerator, type Sample, type TeamTraffic } from './kit/loadGenerator';
import { getQuantile, getSpread } from './kit/statistics';
import { printTable } from './kit/table';

const SEEDS = [21, 22, 23, 24, 25] as const;
const SLOTS = 8;
const PREFILL_MS = 100;
const TOKEN_MS = 20;
const ONLINE_TOKENS = 20;
const BATCH_TOKENS = 20;
const ITEM_MS = PREFILL_MS + TOKEN_MS * BATCH_TOKENS;
const ONLINE_SHARE = 0.5;
const RATE_HEADROOM = 0.9;
const OVERDRAWN_FACTOR = 10;
const LIST_LAG_MS = 2000;
const SKEW_PERIOD_MS = 3000;
const PHASE_MS = { quiet: 5000, batch: 6000, sidecarLost: 6000, entryLost: 6000 } as const;
type Phase = keyof typeof PHASE_MS;

/** A deployment's shape: how many processes, and which share of the online traffic each team has. */
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

const VARIANTS = { naive: 'dist/naive.cjs', anvilpaddle: undefined } as const;
type Variant = keyof typeof VARIANTS;

interface RunResult {
  /** Batch tokens a second over those that the spare slots allow, by phase. */
  readonly batchShare: Readonly<Record<Phase, number>>;
  readonly firstTokenMs: Readonly<Record<Phase, { readonly p95: number; readonly p99: number }>>;
  /** Whole answers of the worst-served team that keeps to its rate, as a share of what it sent. */
  readonly worstTeam: Readonly<Record<Phase, number>>;
  /** Refusals of teams that keep to their rate, as a share of what they sent. */
  readonly wrongfulRefusals: Readonly<Record<Phase, number>>;
}

const PHASES = Object.keys(PHASE_MS) as Phase[];

const fromPhases = <T>(get: (phase: Phase) => T): Readonly<Record<Phase, T>> =>
  Object.fromEntries(PHASES.map((phase) => [phase, get(phase)])) as Record<Phase, T>;

const getTeamName = (index: number): string => `team-${index}`;
/** The last team sends many times its rate. */
const isOverdrawn = (team: string, { shares }: Deployment): boolean =>
  team === getTeamName(shares.length - 1);

const newTraffic = async (fleet: Fleet, deployment: Deployment): Promise<TeamTraffic[]> => {
  const capacity = (deployment.engines * SLOTS * 1000) / ITEM_MS;
  const traffic: TeamTraffic[] = [];
  for (const [index, share] of deployment.shares.entries()) {
    const team = getTeamName(index);
    const usual = capacity * ONLINE_SHARE * share;
    const rate = usual / RATE_HEADROOM;
    const burst = Math.max(4, rate * 2);
    const key = await fleet.newTeam(team, {
      'limits.rate': String(rate),
      'limits.burst': String(burst),
    });
    const factor = isOverdrawn(team, deployment) ? OVERDRAWN_FACTOR : 1;
    const requestsPerSecond = usual * factor;
    traffic.push({ team, key, requestsPerSecond, maxTokens: ONLINE_TOKENS, rate: { rate, burst } });
  }
  return traffic;
};

const submitJob = async (fleet: Fleet, key: string, items: number): Promise<void> => {
  const url = fleet.entries[0]?.url ?? '';
  const line = (index: number): string =>
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
  form.append('file', new Blob([Array.from({ length: items }, (_, i) => line(i)).join('\n')]), 'f');
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
  if (created.statusCode !== 200) throw new Error(`batch: ${await created.body.text()}`);
  await created.body.dump();
};

const getTokens = (fleet: Fleet): { readonly online: number; readonly batch: number } => {
  const sum = (isBatch: boolean): number =>
    fleet.engines
      .flatMap(({ records }) => records)
      .filter(
        ({ attempt, state }) => attempt.startsWith('att_') !== isBatch && state === 'finished',
      )
      .reduce((total, { tokens }) => total + tokens, 0);
  return { online: sum(false), batch: sum(true) };
};

const isKept =
  (deployment: Deployment, phase: Phase) =>
  (sample: Sample): boolean =>
    sample.phase === phase && sample.isWithinRate && !isOverdrawn(sample.team, deployment);

const getWorstTeam = (samples: readonly Sample[], deployment: Deployment, phase: Phase): number => {
  const kept = samples.filter(isKept(deployment, phase));
  const teams = [...new Set(kept.map(({ team }) => team))];
  return Math.min(
    ...teams.map((team) => {
      const own = kept.filter((sample) => sample.team === team);
      return own.filter(({ isComplete: isWhole }) => isWhole).length / own.length;
    }),
  );
};

const loseNode = async (fleet: Fleet, node: Node | undefined): Promise<void> => {
  await node?.child.kill();
  const left = fleet.vms.filter(({ vm }) => vm !== node?.vm);
  setTimeout(() => fleet.platform.setVms(left), LIST_LAG_MS);
};

const runOnce = async (
  deployment: Deployment,
  variant: Variant,
  seed: number,
): Promise<RunResult> => {
  const bundle = VARIANTS[variant];
  const fleet = await newFleet({
    entries: deployment.entries,
    engines: deployment.engines,
    plains: 0,
    engine: { slots: SLOTS, prefillMs: PREFILL_MS, tokenMs: TOKEN_MS },
    ini: { peers: { heartbeat: '500ms', silence: '2s' }, platform: { refresh: '500ms' } },
    ...(bundle !== undefined && { bundle }),
  });
  const traffic = await newTraffic(fleet, deployment);
  const random = newSeededRandom(seed);
  let entries = [...fleet.entries];
  const startMs = performance.now();
  // Each team favours one entry, and another after a while.
  const choose = (team: string): string | undefined => {
    const period = Math.floor((performance.now() - startMs) / SKEW_PERIOD_MS);
    const favourite = entries[(Number(team.split('-')[1]) + period) % entries.length];
    const other = entries[Math.floor(random() * entries.length)];
    return (random() < 0.8 ? favourite : other)?.url;
  };
  const load = startLoadGenerator(traffic, choose, random, 'quiet');
  const jobKey = await fleet.newTeam('reports', { 'limits.rate': '100', 'limits.burst': '100' });
  const batchShare: Partial<Record<Phase, number>> = {};
  for (const phase of PHASES) {
    load.setPhase(phase);
    if (phase === 'batch') await submitJob(fleet, jobKey, deployment.engines * 1200);
    if (phase === 'sidecarLost') await loseNode(fleet, fleet.sidecars.at(-1));
    if (phase === 'entryLost') {
      entries = entries.slice(0, -1);
      await loseNode(fleet, fleet.entries.at(-1));
    }
    const before = getTokens(fleet);
    await sleep(PHASE_MS[phase]);
    const after = getTokens(fleet);
    const engines = deployment.engines - (phase === 'sidecarLost' || phase === 'entryLost' ? 1 : 0);
    const possible = (engines * SLOTS * BATCH_TOKENS * PHASE_MS[phase]) / ITEM_MS;
    const spare = possible - (after.online - before.online);
    batchShare[phase] = (after.batch - before.batch) / spare;
  }
  const samples = await load.stop();
  await fleet.close();
  return {
    batchShare: batchShare as Record<Phase, number>,
    firstTokenMs: fromPhases((phase) => {
      const times = samples
        .filter(isKept(deployment, phase))
        .map(({ firstTokenMs }) => firstTokenMs)
        .filter((value) => !Number.isNaN(value));
      return { p95: getQuantile(times, 0.95), p99: getQuantile(times, 0.99) };
    }),
    worstTeam: fromPhases((phase) => getWorstTeam(samples, deployment, phase)),
    wrongfulRefusals: fromPhases((phase) => {
      const kept = samples.filter(isKept(deployment, phase));
      return kept.filter(({ status }) => status === 429).length / kept.length;
    }),
  };
};

const getRows = (results: Readonly<Record<Variant, readonly RunResult[]>>) =>
  (Object.keys(results) as Variant[]).flatMap((variant) =>
    (['batch', 'sidecarLost', 'entryLost'] as const).map((phase) => {
      const runs = results[variant];
      const getHarm = (quantile: 'p95' | 'p99'): string =>
        getSpread(
          runs.map((run) => run.firstTokenMs[phase][quantile] / run.firstTokenMs.quiet[quantile]),
        );
      return {
        version: variant,
        phase: { batch: 'healthy', sidecarLost: 'a sidecar lost', entryLost: 'an entry lost too' }[
          phase
        ],
        'batch of the spare': getSpread(runs.map((run) => run.batchShare[phase])),
        'first token p95, with / without batch': getHarm('p95'),
        p99: getHarm('p99'),
        'worst-served team': getSpread(runs.map((run) => run.worstTeam[phase])),
        'refused within the rate': getSpread(
          runs.map((run) => run.wrongfulRefusals[phase]),
          4,
        ),
      };
    }),
  );

/** The brief's four measures for both deployments, beside a naive version on the same seeds. */
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
