/** Access to the platform's object store over HTTP. */
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { HttpClient } from './httpClient';
import type { ObjectStore, ReadOptions } from './types';

const getPath = (key: string): string =>
  `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;

const newStatusError = (status: number): PlatformError => ({
  kind: 'invalid_answer',
  detail: `object store answered ${status}`,
});

/** Client of the object store's HTTP protocol: `PUT|GET|DELETE /objects/KEY`. */
export class HttpObjectStore implements ObjectStore {
  constructor(private readonly client: HttpClient) {}

  async put(key: string, body: Buffer): Promise<Result<void, PlatformError>> {
    const response = await this.client.call('PUT', getPath(key), body);
    if (!response.ok) return response;
    return response.value.status < 300
      ? newOk(undefined)
      : newFailure(newStatusError(response.value.status));
  }

  async get(
    key: string,
    options: ReadOptions = {},
  ): Promise<Result<Buffer | undefined, PlatformError>> {
    const response = await this.client.call('GET', getPath(key), undefined, {
      ...options,
      needsDelimiter: true,
    });
    if (!response.ok) return response;
    if (response.value.status === 404) return newOk(undefined);
    return response.value.status === 200
      ? newOk(response.value.body)
      : newFailure(newStatusError(response.value.status));
  }

  async remove(key: string): Promise<Result<void, PlatformError>> {
    const response = await this.client.call('DELETE', getPath(key));
    return response.ok ? newOk(undefined) : response;
  }
}
