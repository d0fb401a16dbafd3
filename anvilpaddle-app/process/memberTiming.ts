import type { MemberTiming } from '../controllers/memberController';
import type { EntrySettings, SidecarSettings } from '../processSettings/schema';

/** Timing of membership from a process's settings. */
export const getMemberTiming = ({
  peers,
  platform,
}: EntrySettings | SidecarSettings): MemberTiming => ({
  heartbeatIntervalMs: peers.heartbeat,
  silenceMs: peers.silence,
  listIntervalMs: platform.list_refresh,
});
