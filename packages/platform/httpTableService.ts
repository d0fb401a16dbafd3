import { z } from 'zod';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { HttpClient } from './httpClient';
import type { TransactionOutcome, RowRange, Row, TableService, Transaction } from './types';

const rowSchema = z.object({ key: z.string(), value: z.unknown(), revision: z.number() });
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const checkSchema = z.object({ table: z.string(), key: z.string(), revision: z.number() });
const commitSchema = z.union([
  z.object({ committed: z.literal(true), revision: z.number() }),
  z.object({ committed: z.literal(false), conflicts: z.array(checkSchema) }),
]);

/** Client of the table service's HTTP protocol: `POST /tables/get|scan|transact` with JSON. */
export class HttpTableService implements TableService {
  constructor(private readonly client: HttpClient) {}

  async get(table: string, key: string): Promise<Result<Row | undefined, PlatformError>> {
    const answer = await this.post('get', { table, key }, rowsSchema);
    return answer.ok ? newOk(answer.value.rows[0]) : answer;
  }

  async scan(table: string, range: RowRange): Promise<Result<readonly Row[], PlatformError>> {
    const answer = await this.post('scan', { table, ...range }, rowsSchema);
    return answer.ok ? newOk(answer.value.rows as Row[]) : answer;
  }

  async transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    return this.post('transact', transaction, commitSchema);
  }

  private async post<T>(
    call: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, PlatformError>> {
    const answer = await this.client.call(
      'POST',
      `/tables/${call}`,
      Buffer.from(JSON.stringify(body)),
    );
    if (!answer.ok) return answer;
    try {
      return newOk(schema.parse(JSON.parse(answer.value.body.toString())));
    } catch {
      return newFailure({ kind: 'invalid_answer', detail: `table service ${call}` });
    }
  }
}
