import { z } from 'zod';

/** Which entries hold the teams' tokens; addresses name them. One row of the table service. */
export const limitViewSchema = z.object({
  epoch: z.number().int().nonnegative(),
  /** Entries among which each team's holders are chosen. */
  members: z.array(z.string()),
  /** Entries that become members once every member has made room for them. */
  joining: z.array(z.string()),
  /** Holders of one team; all members when there are fewer. */
  holders: z.number().int().positive(),
});
export type LimitView = z.infer<typeof limitViewSchema>;

/** Asks a holder for tokens of a team. */
export const borrowRequestSchema = z.object({
  team: z.string(),
  /** Tokens that requests are waiting for. */
  need: z.number().nonnegative(),
  /** Tokens that are welcome besides. */
  extra: z.number().nonnegative(),
  /** Earlier loans of this holder of which nothing is left. */
  closed: z.array(z.string()),
});
export type BorrowRequest = z.infer<typeof borrowRequestSchema>;

/** Tokens lent; the holder has debited them before it answers. */
export const borrowResultSchema = z.object({
  loan: z.string(),
  granted: z.number().nonnegative(),
  /** Tokens that the holder has left. */
  level: z.number().nonnegative(),
  /** When asking again helps, in milliseconds. */
  retryAfterMs: z.number().nonnegative(),
  /** Whether loans take up much of the share, so that word of a spent one is wanted at once. */
  tight: z.boolean(),
  epoch: z.number(),
});
export type BorrowResult = z.infer<typeof borrowResultSchema>;

/** Gives back what is left of a loan; nothing of the loan is used afterwards. */
export const loanReturnSchema = z.object({
  team: z.string(),
  loan: z.string(),
  amount: z.number().nonnegative(),
});
export type LoanReturn = z.infer<typeof loanReturnSchema>;

/** Methods about rate and burst. */
export const LIMIT_METHODS = {
  'limit.borrow': { params: borrowRequestSchema, result: borrowResultSchema },
  'limit.giveBack': { params: loanReturnSchema, result: z.object({}) },
  /** A leaving entry offers its tokens; the receiver borrows them into its own share. */
  'limit.offer': {
    params: z.object({ address: z.string(), teams: z.array(z.string()) }),
    result: z.object({}),
  },
  /** Tells a view; `confirmed` once the receiver holds no more than the view leaves to it. */
  'limit.confirm': {
    params: z.object({ view: limitViewSchema }),
    result: z.object({ epoch: z.number(), confirmed: z.boolean() }),
  },
  /** The view as the receiver knows it. */
  'limit.view': { params: z.object({}), result: z.object({ view: limitViewSchema.optional() }) },
} as const;
