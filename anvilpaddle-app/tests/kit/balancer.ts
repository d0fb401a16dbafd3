/** Load balancer in the test's process that distributes requests over the ready entries. */
import { Agent, request } from 'undici';
import type { FleetProcess } from './fleet';
import { waitFor } from './waitFor';

const CHECK_INTERVAL_MS = 100;

/** Response to one request, or the error in its place; the status is then 0. */
export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly error: string | undefined;
}

/** Stands in for the platform's load balancer: sends requests only to entries that are ready. */
export interface Balancer {
  /** Sends one request to a ready entry; a response that breaks off is an error. */
  send(method: string, path: string, key: string, body: string): Promise<Reply>;
  /** Waits until a readiness check of the entry gives this result. */
  waitForReadiness(entry: FleetProcess, isReady: boolean): Promise<void>;
  close(): Promise<void>;
}

/** Checks the readiness of the entries every 100 ms and sends to the ready ones in turn. */
export const newBalancer = (entries: readonly FleetProcess[]): Balancer => {
  const requestAgent = new Agent({ bodyTimeout: 0, headersTimeout: 0 });
  const checkAgent = new Agent();
  const readiness = new Map<string, boolean>(entries.map(({ vm }) => [vm, true]));
  let requestCount = 0;

  const check = async (entry: FleetProcess): Promise<void> => {
    try {
      const response = await request(`${entry.url}/ready`, { dispatcher: checkAgent });
      await response.body.dump();
      readiness.set(entry.vm, response.statusCode === 200);
    } catch {
      readiness.set(entry.vm, false);
    }
  };
  const timer = setInterval(() => {
    entries.forEach((entry) => {
      check(entry).catch(() => undefined);
    });
  }, CHECK_INTERVAL_MS);

  const getEntry = (): FleetProcess | undefined => {
    const readyEntries = entries.filter(({ vm }) => readiness.get(vm));
    requestCount += 1;
    return readyEntries[requestCount % Math.max(1, readyEntries.length)];
  };

  return {
    send: async (method, path, key, body) => {
      const entry = getEntry();
      if (entry === undefined) return { status: 0, body: '', error: 'no entry is ready' };
      try {
        const response = await request(`${entry.url}${path}`, {
          method: method as 'POST',
          headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
          body,
          dispatcher: requestAgent,
        });
        return { status: response.statusCode, body: await response.body.text(), error: undefined };
      } catch (error) {
        return { status: 0, body: '', error: `${entry.vm}: ${String(error)}` };
      }
    },
    waitForReadiness: async (entry, isReady) => {
      await waitFor(
        `${entry.vm} ${isReady ? 'ready' : 'not ready'}`,
        () => readiness.get(entry.vm) === isReady,
      );
    },
    close: async () => {
      clearInterval(timer);
      await Promise.all([requestAgent.destroy(), checkAgent.destroy()]);
    },
  };
};
