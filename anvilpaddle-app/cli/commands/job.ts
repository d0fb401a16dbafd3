import { newOk } from '@anvilpaddle/common';
import {
  getText,
  newCommandFailure,
  type CommandGroup,
  type OperatorCommand,
} from '../operatorCommand';
import { formatTable } from '../table';

const id = { type: 'string', describe: 'Id of the job', demandOption: true } as const;

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
    const answer = await client.get(`/jobs?team=${encodeURIComponent(getText(args, 'team'))}`);
    if (!answer.ok) return newCommandFailure(answer.error);
    const { jobs } = answer.value as { jobs: readonly JobSummary[] };
    return newOk({ json: answer.value, text: formatTable(HEADER, jobs.map(getRow)) });
  },
};

const showJob: OperatorCommand = {
  command: 'show <id>',
  describe: 'Show a batch job with its counts',
  positionals: { id },
  examples: [['show batch_0c…', 'how far it is']],
  run: async (args, client) => {
    const answer = await client.get(`/jobs/${encodeURIComponent(getText(args, 'id'))}`);
    if (!answer.ok) return newCommandFailure(answer.error);
    const text = formatTable(HEADER, [getRow(answer.value as JobSummary)]);
    return newOk({ json: answer.value, text });
  },
};

const cancelJob: OperatorCommand = {
  command: 'cancel <id>',
  describe: 'Cancel a batch job',
  positionals: { id },
  examples: [['cancel batch_0c…', 'results so far stay readable']],
  run: async (args, client) => {
    const path = `/jobs/${encodeURIComponent(getText(args, 'id'))}/cancel`;
    const answer = await client.post(path, {});
    if (!answer.ok) return newCommandFailure(answer.error);
    const job = answer.value as JobSummary;
    return newOk({ json: answer.value, text: `${job.id} is ${job.state}` });
  },
};

/** Commands about batch jobs. */
export const JOB_GROUP: CommandGroup = {
  name: 'job',
  describe: 'Batch jobs',
  commands: [listJobs, showJob, cancelJob],
};
