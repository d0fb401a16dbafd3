/** Open-loop generator of online requests to a running fleet. */
import { Agent, request } from 'undici';
import type { Random } from '@anvilpaddle/common';
import { newTokenBucket, type RateLimit } from '@anvilpaddle/decisions';
import { getExponential } from './statistics';

/** Outcome of one online request. */
export interface Sample {
  readonly team: string;
  readonly phase: string;
  /** HTTP status; 0 when the connection failed. */
  readonly status: number;
  /** Time to the first token; NaN when none arrived. */
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Whether the status is 200 and the stream ended with its end marker. */
  readonly isComplete: boolean;
  /** Whether a single token bucket for the whole fleet would have admitted the request. */
  readonly isWithinRate: boolean;
}

/** Online traffic that one team sends. */
export interface TeamTraffic {
  readonly team: string;
  readonly key: string;
  readonly requestsPerSecond: number;
  readonly maxTokens: number;
  readonly rate: RateLimit;
}

/** Stands in for the load balancer: picks the URL of the entry that gets a team's next request. */
export type ChooseEntryUrl = (team: string) => string | undefined;

const STREAM_END_MARKER = 'data: [DONE]';

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
    const response = await request(`${url}/v1/chat/completions`, {
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
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      if (Number.isNaN(firstTokenMs)) firstTokenMs = getElapsedMs();
      tail = (tail + chunk.toString()).slice(-40);
    }
    const isComplete = response.statusCode === 200 && tail.includes(STREAM_END_MARKER);
    return {
      team,
      phase,
      status: response.statusCode,
      firstTokenMs: response.statusCode === 200 ? firstTokenMs : NaN,
      totalMs: getElapsedMs(),
      isComplete,
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

/** Open-loop load: the arrival of requests does not depend on responses to earlier ones. */
export interface LoadGenerator {
  /** Sets the phase that the samples of later requests carry. */
  setPhase(phase: string): void;
  /** Stops sending and resolves with all samples once no request is open. */
  stop(): Promise<readonly Sample[]>;
}

/** Starts sending each team's traffic with Poisson arrivals. */
export const startLoadGenerator = (
  traffic: readonly TeamTraffic[],
  chooseEntryUrl: ChooseEntryUrl,
  random: Random,
  firstPhase: string,
): LoadGenerator => {
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const openRequests = new Set<Promise<void>>();
  const samples: Sample[] = [];
  const timers = new Map<string, NodeJS.Timeout>();
  const buckets = new Map(
    traffic.map(({ team, rate }) => [team, newTokenBucket(rate, performance.now())]),
  );
  let phase = firstPhase;
  let count = 0;

  const sendNext = (teamTraffic: TeamTraffic): void => {
    const url = chooseEntryUrl(teamTraffic.team);
    if (url === undefined) return;
    count += 1;
    const isWithinRate = buckets.get(teamTraffic.team)?.take(1, performance.now()).admitted ?? true;
    const sent = send(
      url,
      teamTraffic,
      `Question ${count} of ${teamTraffic.team}`,
      phase,
      agent,
    ).then((sample) => {
      samples.push({ ...sample, isWithinRate });
      openRequests.delete(sent);
    });
    openRequests.add(sent);
  };
  const scheduleNext = (teamTraffic: TeamTraffic): void => {
    const delayMs = getExponential(1000 / teamTraffic.requestsPerSecond, random());
    const timer = setTimeout(() => {
      sendNext(teamTraffic);
      scheduleNext(teamTraffic);
    }, delayMs);
    timers.set(teamTraffic.team, timer);
  };
  traffic.forEach(scheduleNext);

  return {
    setPhase: (next) => {
      phase = next;
    },
    stop: async () => {
      timers.forEach((timer) => clearTimeout(timer));
      await Promise.all(openRequests);
      await agent.destroy();
      return samples;
    },
  };
};
