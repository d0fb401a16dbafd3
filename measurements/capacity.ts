/** Measurement of processor time, memory and traffic by number of members, requests and streams. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { newMemberTable } from '@anvilpaddle/decisions';
import { newSilentLogger, SystemClock } from '@anvilpaddle/common';
import { HEADER, PEER_PATH, type Member } from '@anvilpaddle/protocol';
import { newPeerClient } from 'anvilpaddle-app/peers/peerClient';
import { newPeerServer } from 'anvilpaddle-app/peers/peerServer';
import { newFleet, type Fleet } from 'anvilpaddle-app/tests/kit/fleet';
import { getProcessUsage } from './kit/processUsage';
import { fitLine } from './kit/statistics';
import { printTable } from './kit/table';

const SECRET = 'secret-of-the-measurement';
const IDLE_PERIOD_MS = 10_000;
const LOAD_PERIOD_MS = 6000;
const REQUESTS_PER_SECOND = 60;
const MIB = 1024 * 1024;
/** Heartbeats whose processor time is averaged. */
const HEARTBEATS = 3000;

const newMember = (index: number): Member => ({
  vm: `llm-worker-${index}`,
  address: `10.0.${Math.floor(index / 250)}.${index % 250}:9000`,
  role: 'sidecar',
  failureDomain: 'kgn-a',
  incarnation: 'inc_0123456789abcdef01234567',
  leaving: false,
  group: 'llm',
  models: ['small-chat', 'large-chat'],
  load: { running: 3, waiting: 1, slots: 8 },
  revision: 123_456,
});

/** Prints bytes on the wire and processor time of one heartbeat, both ends together. */
const measureHeartbeat = async (): Promise<void> => {
  const clock = new SystemClock();
  const log = newSilentLogger();
  let bytes = 0;
  const server = await newPeerServer(
    { host: '127.0.0.1', port: 0 },
    [SECRET],
    { 'member.heartbeat': () => ({ member: newMember(1) }) },
    {
      [PEER_PATH.attempts]: (incoming, response) => {
        bytes = incoming.socket.bytesRead + incoming.socket.bytesWritten;
        response.end();
      },
    },
    log,
  );
  const address = `127.0.0.1:${server.address.port}`;
  const peers = newPeerClient(SECRET, 5000, clock);
  for (let index = 0; index < 200; index += 1) {
    await peers.call(address, 'member.heartbeat', { member: newMember(index) });
  }
  const startCpu = process.cpuUsage();
  for (let index = 0; index < HEARTBEATS; index += 1) {
    await peers.call(address, 'member.heartbeat', { member: newMember(index) });
  }
  const cpu = process.cpuUsage(startCpu);
  // The bytes are counted on a connection that carries only exchanges of this size.
  const body = JSON.stringify([
    { jsonrpc: '2.0', id: 1, method: 'member.heartbeat', params: { member: newMember(1) } },
  ]);
  const agent = new Agent({ pipelining: 1, connections: 1 });
  let exchanges = 0;
  const post = async (path: string): Promise<void> => {
    const response = await request(`http://${address}${path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${SECRET}`,
        'content-type': 'application/json',
        [HEADER.exchange]: `inc_measure.${exchanges + 1}`,
      },
      body,
      dispatcher: agent,
    });
    exchanges += 1;
    await response.body.dump();
  };
  const getBytes = async (): Promise<number> => {
    await post(PEER_PATH.attempts);
    return bytes;
  };
  const initialBytes = await getBytes();
  const bytesAfterFirst = await (async () => {
    await post(PEER_PATH.rpc);
    return getBytes();
  })();
  for (let index = 0; index < 11; index += 1) await post(PEER_PATH.rpc);
  const bytesAfterTwelve = await getBytes();
  const wireBytes = (bytesAfterTwelve - bytesAfterFirst - (bytesAfterFirst - initialBytes)) / 10;
  printTable('Control: one heartbeat and its answer', [
    {
      'wire bytes, both directions': wireBytes,
      'processor us, both ends': ((cpu.user + cpu.system) / HEARTBEATS).toFixed(0),
    },
  ]);
  await Promise.all([server.close(), peers.close(), agent.destroy()]);
};

/** Prints the memory of the member table and the time of `live()` by number of members. */
const measureMembers = (): void => {
  const { gc } = globalThis;
  const rows = [1000, 4000, 16_000].map((count) => {
    gc?.();
    const before = process.memoryUsage().heapUsed;
    const members = newMemberTable(() => 1e9);
    for (let index = 0; index < count; index += 1) {
      members.recordHeartbeat(JSON.parse(JSON.stringify(newMember(index))) as Member, index);
    }
    gc?.();
    const bytes = process.memoryUsage().heapUsed - before;
    const startMs = performance.now();
    const live = members.live(count).length;
    const liveUs = (performance.now() - startMs) * 1000;
    return {
      members: count,
      live,
      'heap bytes a member': Math.round(bytes / count),
      'live() us': Math.round(liveUs),
    };
  });
  printTable('Control: member table', rows);
};

/** Prints the memory of a Node.js process without any code of this project, for comparison. */
const measureBareRuntime = async (): Promise<void> => {
  const child = spawn(process.execPath, [
    '-e',
    "require('http').createServer(()=>{}).listen(0,'127.0.0.1',()=>console.log('up'))",
  ]);
  await once(child.stdout, 'data');
  await sleep(1000);
  const { residentBytes } = getProcessUsage(child.pid ?? 0);
  child.kill('SIGKILL');
  printTable('Memory: node with an idle HTTP server and nothing of ours', [
    { 'resident MiB': (residentBytes / MIB).toFixed(1) },
  ]);
};

const getPids = (fleet: Fleet) => ({
  entry: fleet.entries[0]?.process.pid ?? 0,
  sidecar: fleet.sidecars[0]?.process.pid ?? 0,
});

/** Prints processor time and memory of idle processes by number of sidecars, at the default heartbeat. */
const measureIdle = async (): Promise<void> => {
  const rows: Record<string, number>[] = [];
  for (const engines of [1, 4, 12]) {
    const fleet = await newFleet({
      entries: 1,
      engines,
      plainUpstreams: 0,
      ini: {
        peers: { heartbeat: '500ms', silence: '2s' },
        platform: { refresh: '500ms', list_refresh: '1s' },
      },
    });
    await sleep(3000);
    const pids = getPids(fleet);
    const before = { entry: getProcessUsage(pids.entry), sidecar: getProcessUsage(pids.sidecar) };
    await sleep(IDLE_PERIOD_MS);
    const after = { entry: getProcessUsage(pids.entry), sidecar: getProcessUsage(pids.sidecar) };
    const getCorePercent = (role: 'entry' | 'sidecar'): number =>
      ((after[role].cpuMs - before[role].cpuMs) / IDLE_PERIOD_MS) * 100;
    rows.push({
      sidecars: engines,
      'entry % of a core': getCorePercent('entry'),
      'entry MiB': Math.round(after.entry.residentBytes / MIB),
      'sidecar % of a core': getCorePercent('sidecar'),
      'sidecar MiB': Math.round(after.sidecar.residentBytes / MIB),
    });
    await fleet.close();
  }
  printTable(
    'Control: idle processes',
    rows.map((row) =>
      Object.fromEntries(
        Object.entries(row).map(([name, value]) => [name, Number(value.toFixed(2))]),
      ),
    ),
  );
  const points = rows.map((row) => [row.sidecars ?? 0, row['entry % of a core'] ?? 0] as const);
  const { slope, intercept } = fitLine(points);
  printTable('Control: an entry, fitted', [
    { '% of a core a contact': slope.toFixed(3), '% of a core besides': intercept.toFixed(3) },
  ]);
};

/** Sends a streamed request and reads its response to the end. */
const sendStream = async (url: string, key: string, tokens: number): Promise<void> => {
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'small-chat',
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: 'Summarise the night.' }],
    }),
  });
  await response.body.dump({ limit: MIB * 16 });
};

/** Prints processor time of a streamed request by its tokens, and memory by number of open streams. */
const measureRequests = async (): Promise<void> => {
  const fleet = await newFleet({
    entries: 1,
    engines: 1,
    plainUpstreams: 0,
    engine: { slots: 4000, prefillMs: 10, tokenMs: 10 },
  });
  const key = await fleet.createTeam('gyms');
  const url = fleet.entries[0]?.url ?? '';
  const pids = getPids(fleet);
  const rows: { tokens: number; entry: number; sidecar: number }[] = [];
  for (const tokens of [1, 32, 128]) {
    const before = { entry: getProcessUsage(pids.entry), sidecar: getProcessUsage(pids.sidecar) };
    const pendingRequests: Promise<void>[] = [];
    const requestCount = (LOAD_PERIOD_MS / 1000) * REQUESTS_PER_SECOND;
    for (let index = 0; index < requestCount; index += 1) {
      pendingRequests.push(sendStream(url, key, tokens));
      await sleep(1000 / REQUESTS_PER_SECOND);
    }
    await Promise.all(pendingRequests);
    const getCpuMsPerRequest = (role: 'entry' | 'sidecar'): number =>
      (getProcessUsage(pids[role]).cpuMs - before[role].cpuMs) / requestCount;
    rows.push({
      tokens,
      entry: getCpuMsPerRequest('entry'),
      sidecar: getCpuMsPerRequest('sidecar'),
    });
  }
  printTable(
    'Requests: processor ms a streamed request',
    rows.map(({ tokens, entry, sidecar }) => ({
      tokens,
      entry: entry.toFixed(2),
      sidecar: sidecar.toFixed(2),
    })),
  );
  printTable(
    'Requests: fitted',
    (['entry', 'sidecar'] as const).map((role) => {
      const { slope, intercept } = fitLine(rows.map((row) => [row.tokens, row[role]] as const));
      return {
        role,
        'ms a request': intercept.toFixed(2),
        'us a token': (slope * 1000).toFixed(1),
      };
    }),
  );
  const memoryRows: Record<string, number>[] = [];
  for (const open of [100, 400, 1200]) {
    const streams = Array.from({ length: open }, () => sendStream(url, key, 300));
    await sleep(2500);
    const entry = getProcessUsage(pids.entry).residentBytes;
    const sidecar = getProcessUsage(pids.sidecar).residentBytes;
    memoryRows.push({
      'open streams': open,
      'entry MiB': Math.round(entry / MIB),
      'sidecar MiB': Math.round(sidecar / MIB),
    });
    await Promise.all(streams);
  }
  printTable('Requests: resident memory by open streams', memoryRows);
  await fleet.close();
};

/** Prints the cost of membership and of requests, for docs/CAPACITY.md. */
export const measureCapacity = async (): Promise<void> => {
  measureMembers();
  await measureHeartbeat();
  await measureBareRuntime();
  await measureIdle();
  await measureRequests();
};
