import { Agent, request } from 'undici';
import type { FleetProcess } from './fleet';
import { waitFor } from './waitFor';

const CHECK_MS = 100;

/** What came back for one request. */
export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly error: string | undefined;
}

/** The platform's balancer as seen by callers: sends to entries that are ready. */
export interface Balancer {
  /** Sends one request to a ready entry; a cut answer is a fault. */
  send(method: string, path: string, key: string, body: string): Promise<Reply>;
  /** Waits until it has seen the entry in this state. */
  waitForReadiness(entry: FleetProcess, ready: boolean): Promise<void>;
  close(): Promise<void>;
}

/** Balancer that checks readiness each 100 ms and takes the ready entries in turn. */
export const newBalancer = (entries: readonly FleetProcess[]): Balancer => {
  const agent = new Agent({ bodyTimeout: 0, headersTimeout: 0 });
  const checks = new Agent();
  const ready = new Map<string, boolean>(entries.map(({ vm }) => [vm, true]));
  let turn = 0;

  const check = async (entry: FleetProcess): Promise<void> => {
    try {
      const answer = await request(`${entry.url}/ready`, { dispatcher: checks });
      await answer.body.dump();
      ready.set(entry.vm, answer.statusCode === 200);
    } catch {
      ready.set(entry.vm, false);
    }
  };
  const timer = setInterval(() => {
    entries.forEach((entry) => {
      check(entry).catch(() => undefined);
    });
  }, CHECK_MS);

  const getEntry = (): FleetProcess | undefined => {
    const usable = entries.filter(({ vm }) => ready.get(vm));
    turn += 1;
    return usable[turn % Math.max(1, usable.length)];
  };

  return {
    send: async (method, path, key, body) => {
      const entry = getEntry();
      if (entry === undefined) return { status: 0, body: '', error: 'no entry is ready' };
      try {
        const answer = await request(`${entry.url}${path}`, {
          method: method as 'POST',
          headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
          body,
          dispatcher: agent,
        });
        return { status: answer.statusCode, body: await answer.body.text(), error: undefined };
      } catch (fault) {
        return { status: 0, body: '', error: `${entry.vm}: ${String(fault)}` };
      }
    },
    waitForReadiness: async (entry, wanted) => {
      await waitFor(
        `${entry.vm} ${wanted ? 'ready' : 'not ready'}`,
        () => ready.get(entry.vm) === wanted,
      );
    },
    close: async () => {
      clearInterval(timer);
      await Promise.all([agent.destroy(), checks.destroy()]);
    },
  };
};
