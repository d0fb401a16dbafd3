/** Files as they are shown to callers. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { File } from '@anvilpaddle/decisions';

/** File object of OpenAI's API, with times in seconds. */
export const getFileObject = (file: File): object => ({
  id: file.id,
  object: 'file',
  bytes: file.bytes,
  created_at: Math.floor(file.createdAt / MS_PER_SECOND),
  filename: file.name,
  purpose: file.purpose,
  status: 'processed',
});
