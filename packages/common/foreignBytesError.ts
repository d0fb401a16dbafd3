/** Error of a response with bytes that do not belong to it, as its reader has found. */
export class ForeignBytesError extends Error {}
