/** Error of work that needs more memory than becomes free in time; it has not begun. */
export class NoRoomError extends Error {
  constructor(detail: string) {
    super(`no room for received bytes: ${detail}`);
    this.name = 'NoRoomError';
  }
}
