/** Command that shows the state of the system as one entry process sees it. */
import { newOk, type HistogramSummary } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { getText, newCommandFailure, type OperatorCommand } from '../operatorCommand';
import { formatTable } from '../table';

interface Status {
  readonly vm: string;
  readonly revision: number;
  readonly configAgeMs: number | null;
  readonly stage: string;
  readonly members: readonly Member[];
  readonly histograms: readonly HistogramSummary[];
  readonly counts: Readonly<Record<string, number>>;
  readonly limits: readonly TeamLimit[];
}

interface TeamLimit {
  readonly team: string;
  readonly rate: string;
  readonly burst: string;
}

const getMemberRow = ({ vm, role, failureDomain, group, load, revision }: Member): string[] => [
  vm,
  role,
  failureDomain,
  group ?? '',
  load === undefined ? '' : `${load.running}/${load.slots}`,
  String(load?.waiting ?? ''),
  String(revision),
];

const getStatusText = (status: Status, team: string): string => {
  const isIncluded = (name: string): boolean => team === '' || name === team;
  const age = status.configAgeMs === null ? 'never current' : `${status.configAgeMs} ms old`;
  const sections = [
    `entry ${status.vm}: ${status.stage}, revision ${status.revision}, ${age}`,
    formatTable(
      ['member', 'role', 'failure domain', 'group', 'running', 'waiting', 'revision'],
      status.members.map(getMemberRow),
    ),
    formatTable(
      ['team', 'rate /s', 'burst'],
      status.limits
        .filter((limit) => isIncluded(limit.team))
        .map(({ team: name, rate, burst }) => [name, rate, burst]),
    ),
    formatTable(
      ['team', 'class', 'histogram', 'count', 'p50', 'p95', 'p99'],
      status.histograms
        .filter((summary) => isIncluded(summary.team))
        .map(({ team: name, serviceClass, name: histogram, count, p50, p95, p99 }) => [
          name,
          serviceClass,
          histogram,
          ...[count, p50, p95, p99].map(String),
        ]),
    ),
    formatTable(
      ['count of', 'team', 'reason', 'count'],
      Object.entries(status.counts)
        .map(([key, count]) => [...key.split('|'), String(count)])
        .filter(([, name = '']) => isIncluded(name)),
    ),
  ];
  return sections.join('\n\n');
};

/** Shows the processes, limits and metrics as one entry process sees them. */
export const STATUS_COMMAND: OperatorCommand = {
  command: 'status',
  describe: 'Show members, load, queues, limits and histograms as one entry sees them',
  options: { team: { type: 'string', describe: 'Only this team’s figures' } },
  examples: [
    ['status', 'everything'],
    ['status --team coaches --json', 'for a script'],
  ],
  run: async (args, client) => {
    const response = await client.get('/status');
    if (!response.ok) return newCommandFailure(response.error);
    return newOk({
      json: response.value,
      text: getStatusText(response.value as Status, getText(args, 'team')),
    });
  },
};
