import type { MemberTiming } from '../controllers/memberController';
import type { EntryFile, SidecarFile } from '../processSettings/schema';

/** Timing of membership from a process's settings. */
export const getMemberTiming = ({ peers, platform }: EntryFile | SidecarFile): MemberTiming => ({
  heartbeatMs: peers.heartbeat,
  silenceMs: peers.silence,
  listMs: platform.list_refresh,
});
