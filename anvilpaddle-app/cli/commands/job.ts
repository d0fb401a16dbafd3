/** Commands that list, show and cancel batch jobs. */
import { newOk } from '@anvilpaddle/common';
import {
  getText,
  newCommandFailure,
  type CommandGroup,
  type OperatorCommand,
} from '../operatorCommand';
import { formatTable } from '../table';

const idArgument = { type: 'string', describe: 'Id of the job', demandOption: true } as const;

interface JobSummary {
  readonly id: string;
  readonly team: string;
  readonly state: string;
  readonly route: string;
  readonly items: number;
  readonly dueAt: string;
  readonly counts?: { readonly completed: number; readonly failed: number };
}

const HEADER = ['job', 'team', 'state', 'route', 'items', 'done', 'failed', 'due at'];

const getRow = ({ id: job, team, state, route, items, counts, dueAt }: JobSummary): string[] => [
  job,
  team,
  state,
  route,
  String(items),
  String(counts?.completed ?? ''),
  String(counts?.failed ?? ''),
  dueAt,
];

const listJobs: OperatorCommand = {
  command: 'list',
  describe: 'List a team’s batch jobs',
  options: { team: { type: 'string', describe: 'Name of the team', demandOption: true } },
  examples: [['list --team coaches', 'jobs of one team']],
  run: async (args, client) => {
    const response = await client.get(`/jobs?team=${encodeURIComponent(getText(args, 'team'))}`);
    if (!response.ok) return newCommandFailure(response.error);
    const { jobs } = response.value as { jobs: readonly JobSummary[] };
    return newOk({ json: response.value, text: formatTable(HEADER, jobs.map(getRow)) });
  },
};

const showJob: OperatorCommand = {
  command: 'show <id>',
  describe: 'Show a batch job with its counts',
  positionals: { id: idArgument },
  examples: [['show batch_0c…', 'how far it is']],
  run: async (args, client) => {
    const response = await client.get(`/jobs/${encodeURIComponent(getText(args, 'id'))}`);
    if (!response.ok) return newCommandFailure(response.error);
    const text = formatTable(HEADER, [getRow(response.value as JobSummary)]);
    return newOk({ json: response.value, text });
  },
};

const cancelJob: OperatorCommand = {
  command: 'cancel <id>',
  describe: 'Cancel a batch job',
  positionals: { id: idArgument },
  examples: [['cancel batch_0c…', 'results so far stay readable']],
  run: async (args, client) => {
    const path = `/jobs/${encodeURIComponent(getText(args, 'id'))}/cancel`;
    const response = await client.post(path, {});
    if (!response.ok) return newCommandFailure(response.error);
    const job = response.value as JobSummary;
    return newOk({ json: response.value, text: `${job.id} is ${job.state}` });
  },
};

/** Commands about batch jobs. */
export const JOB_GROUP: CommandGroup = {
  name: 'job',
  describe: 'Batch jobs',
  commands: [listJobs, showJob, cancelJob],
};
