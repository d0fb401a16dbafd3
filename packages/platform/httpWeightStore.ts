/** Access to the platform's store of model weights over HTTP. */
import { z } from 'zod';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { HttpClient } from './httpClient';
import type { WeightStore } from './types';

const weightsSchema = z.object({ sizeBytes: z.number() });

/** Client of the weight store's HTTP protocol: `GET /weights/MODEL/VERSION`. */
export class HttpWeightStore implements WeightStore {
  constructor(private readonly client: HttpClient) {}

  async read(model: string, version: string): Promise<Result<number, PlatformError>> {
    const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    const response = await this.client.call('GET', path);
    if (!response.ok) return response;
    try {
      return newOk(weightsSchema.parse(JSON.parse(response.value.body.toString())).sizeBytes);
    } catch {
      return newFailure({
        kind: 'invalid_answer',
        detail: `invalid response from the weight store: ${path}`,
      });
    }
  }
}
