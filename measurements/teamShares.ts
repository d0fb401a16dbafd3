/** Measurement of the shares of teams: bytes and processor time of reports and decisions at one gateway. */
import {
  newTeamShares,
  newTeamSlots,
  type Candidate,
  type HeldSlots,
} from '@anvilpaddle/decisions';
import { decodeHeldSlots, encodeHeldSlots } from 'anvilpaddle-app/gateway/teamReport';
import { printTable } from './kit/table';

const SERVICE = 'models';
const PEERS = 37;
const TEAMS = 77;
const UPSTREAMS = 30;
const SLOTS = 8;
const MEAN_MS = 550;
const ROUNDS = 20_000;
const US_PER_MS = 1000;
/** Datagrams that a gateway receives in a second at most, and its own. */
const RECEIVED_PER_SECOND = 400;
const SENT_PER_SECOND = 11;
/** Placements of requests in a second at a gateway, with those that come again after a refusal. */
const PLACED_PER_SECOND = 20;
/** Longer than the time for which calculated shares are used again. */
const ROUND_MS = 26;
const START_MS = 10_000;

const candidates: readonly Candidate[] = Array.from({ length: UPSTREAMS }, (_, index) => ({
  id: `u${index}`,
  slots: SLOTS,
  load: { online: SLOTS + 1, batch: 0 },
  weight: 1,
  isSameFailureDomain: true,
  upstreamMeanMs: MEAN_MS,
  serviceMeanMs: MEAN_MS,
  limitWaitMs: undefined,
  isCold: false,
}));

const getTeam = (index: number): string => `team-${index % TEAMS}`;

const newHeld = (index: number): HeldSlots => ({
  service: SERVICE,
  team: getTeam(index),
  priority: 0,
  slots: 1,
});

/** A gateway that holds some slots, at a service that is short or where no shares are called for. */
const newNode = (entries: number, isCalledFor: boolean) => {
  const teamSlots = newTeamSlots();
  const ratePerSecond = isCalledFor ? 60 : 1;
  const teams = Array.from({ length: TEAMS }, (_, index) => ({
    name: getTeam(index),
    ratePerSecond,
    weight: 1,
  }));
  const sources = { teamSlots, getTeams: () => teams, getCandidates: () => candidates };
  Array.from({ length: entries }, (_, index) => teamSlots.begin(newHeld(index)));
  return { teamSlots, teamShares: newTeamShares(sources, 0) };
};

/** Mean processor time of a round in microseconds; other work on the machine doesn't count. */
const measureRound = (run: (round: number) => void): number => {
  const before = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) run(round);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / ROUNDS;
};

const measureReports = (entries: number, isCalledFor: boolean) => {
  const { teamSlots, teamShares } = newNode(entries, isCalledFor);
  let text = '';
  const buildUs = measureRound((round) => {
    text = JSON.stringify({
      teams: encodeHeldSlots(teamShares.getReport(START_MS + round / US_PER_MS)),
    });
  });
  const applyUs = measureRound((round) => {
    const { teams } = JSON.parse(text) as { readonly teams?: unknown };
    teamSlots.updatePeer(`gw-${round % PEERS}`, decodeHeldSlots(teams), START_MS);
  });
  const decideUs = measureRound((round) => {
    const nowMs = START_MS + round * ROUND_MS;
    // Keeps the reports of all peers recent.
    teamSlots.updatePeer('gw-0', decodeHeldSlots(undefined), nowMs);
    if (round % PEERS === 0) {
      for (let peer = 1; peer < PEERS; peer += 1) {
        teamSlots.updatePeer(
          `gw-${peer}`,
          Array.from({ length: entries }, (_, index) => newHeld(index + peer * entries)),
          nowMs,
        );
      }
    }
    teamShares.getShare({ service: SERVICE, team: 'team-1', priority: 0 }, nowMs);
  });
  const usPerSecond =
    buildUs * SENT_PER_SECOND + applyUs * RECEIVED_PER_SECOND + decideUs * PLACED_PER_SECOND;
  return {
    shares: isCalledFor ? 'called for' : 'not called for',
    entries,
    bytes: text.length,
    'µs to build': buildUs.toFixed(1),
    'µs to apply': applyUs.toFixed(1),
    'µs to decide': decideUs.toFixed(1),
    'core a gateway': (usPerSecond / US_PER_MS / US_PER_MS).toFixed(5),
  };
};

/** Measures the cost by the number of entries in a report. */
export const measureTeamShares = (): Promise<void> => {
  const rows: readonly (readonly [number, boolean])[] = [
    [6, false],
    [6, true],
    [12, true],
    [40, true],
  ];
  const measureAll = () => rows.map(([entries, isCalled]) => measureReports(entries, isCalled));
  // The first pass warms the code up.
  measureAll();
  printTable('Shares of teams', measureAll());
  return Promise.resolve();
};
