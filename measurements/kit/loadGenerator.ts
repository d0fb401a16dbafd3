import { Agent, request } from 'undici';
import type { Random } from '@anvilpaddle/common';
import { newTokenBucket, type RateLimit } from '@anvilpaddle/decisions';
import { getExponential } from './statistics';

/** What became of one online request. */
export interface Sample {
  readonly team: string;
  readonly phase: string;
  readonly status: number;
  /** Time to the first token in milliseconds; NaN without one. */
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly isComplete: boolean;
  /** Whether one bucket for the whole fleet would have admitted it. */
  readonly isWithinRate: boolean;
}

/** One team's online traffic. */
export interface TeamTraffic {
  readonly team: string;
  readonly key: string;
  readonly requestsPerSecond: number;
  readonly maxTokens: number;
  readonly rate: RateLimit;
}

/** Where requests may go now; the balancer of the run. */
export type ChooseEntryUrl = (team: string) => string | undefined;

const END_MARK = 'data: [DONE]';

const send = async (
  url: string,
  { team, key, maxTokens }: TeamTraffic,
  prompt: string,
  phase: string,
  agent: Agent,
): Promise<Omit<Sample, 'isWithinRate'>> => {
  const startMs = performance.now();
  const getElapsedMs = (): number => performance.now() - startMs;
  try {
    const answer = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'small-chat',
        stream: true,
        max_tokens: maxTokens,
        messages: [{ role: 'user', content: prompt }],
      }),
      dispatcher: agent,
    });
    let firstTokenMs = NaN;
    let tail = '';
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      if (Number.isNaN(firstTokenMs)) firstTokenMs = getElapsedMs();
      tail = (tail + chunk.toString()).slice(-40);
    }
    const isWhole = answer.statusCode === 200 && tail.includes(END_MARK);
    return {
      team,
      phase,
      status: answer.statusCode,
      firstTokenMs: answer.statusCode === 200 ? firstTokenMs : NaN,
      totalMs: getElapsedMs(),
      isComplete: isWhole,
    };
  } catch {
    return {
      team,
      phase,
      status: 0,
      firstTokenMs: NaN,
      totalMs: getElapsedMs(),
      isComplete: false,
    };
  }
};

/** Open-loop load: requests arrive whether or not earlier ones have been answered. */
export interface LoadGenerator {
  setPhase(phase: string): void;
  /** Stops sending and resolves with all samples once everything has been answered. */
  stop(): Promise<readonly Sample[]>;
}

/** Starts Poisson arrivals of each team's traffic. */
export const startLoadGenerator = (
  traffic: readonly TeamTraffic[],
  choose: ChooseEntryUrl,
  random: Random,
  firstPhase: string,
): LoadGenerator => {
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const open = new Set<Promise<void>>();
  const samples: Sample[] = [];
  const timers = new Map<string, NodeJS.Timeout>();
  const buckets = new Map(
    traffic.map(({ team, rate }) => [team, newTokenBucket(rate, performance.now())]),
  );
  let phase = firstPhase;
  let count = 0;

  const sendOne = (team: TeamTraffic): void => {
    const url = choose(team.team);
    if (url === undefined) return;
    count += 1;
    const isWithinRate = buckets.get(team.team)?.take(1, performance.now()).admitted ?? true;
    const sent = send(url, team, `Question ${count} of ${team.team}`, phase, agent).then(
      (sample) => {
        samples.push({ ...sample, isWithinRate });
        open.delete(sent);
      },
    );
    open.add(sent);
  };
  const schedule = (team: TeamTraffic): void => {
    const delayMs = getExponential(1000 / team.requestsPerSecond, random());
    const timer = setTimeout(() => {
      sendOne(team);
      schedule(team);
    }, delayMs);
    timers.set(team.team, timer);
  };
  traffic.forEach(schedule);

  return {
    setPhase: (next) => {
      phase = next;
    },
    stop: async () => {
      timers.forEach((timer) => clearTimeout(timer));
      await Promise.all(open);
      await agent.destroy();
      return samples;
    },
  };
};
