/** Access to the platform's table service over HTTP. */
import { z } from 'zod';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { HttpClient } from './httpClient';
import type { TransactionOutcome, RowRange, Row, TableService, Transaction } from './types';

const rowSchema = z.object({ key: z.string(), value: z.unknown(), revision: z.number() });
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const rowCheckSchema = z.object({ table: z.string(), key: z.string(), revision: z.number() });
const outcomeSchema = z.union([
  z.object({ committed: z.literal(true), revision: z.number() }),
  z.object({ committed: z.literal(false), conflicts: z.array(rowCheckSchema) }),
]);

/** Client of the table service's HTTP protocol: `POST /tables/get|scan|transact` with JSON. */
export class HttpTableService implements TableService {
  constructor(private readonly client: HttpClient) {}

  async get(table: string, key: string): Promise<Result<Row | undefined, PlatformError>> {
    const response = await this.post('get', { table, key }, rowsSchema);
    return response.ok ? newOk(response.value.rows[0]) : response;
  }

  async scan(table: string, range: RowRange): Promise<Result<readonly Row[], PlatformError>> {
    const response = await this.post('scan', { table, ...range }, rowsSchema);
    return response.ok ? newOk(response.value.rows as Row[]) : response;
  }

  async transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>> {
    return this.post('transact', transaction, outcomeSchema);
  }

  private async post<T>(
    operation: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, PlatformError>> {
    const response = await this.client.call(
      'POST',
      `/tables/${operation}`,
      Buffer.from(JSON.stringify(body)),
    );
    if (!response.ok) return response;
    try {
      return newOk(schema.parse(JSON.parse(response.value.body.toString())));
    } catch {
      return newFailure({
        kind: 'invalid_answer',
        detail: `invalid response from the table service: ${operation}`,
      });
    }
  }
}
