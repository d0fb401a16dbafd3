/** Membership timing from the settings of a process. */
import type { MemberTiming } from '../controllers/memberController';
import type { EntrySettings, SidecarSettings } from '../processSettings/schema';

/** Returns the intervals and the timeout of membership from the settings of a process. */
export const getMemberTiming = ({
  peers,
  platform,
}: EntrySettings | SidecarSettings): MemberTiming => ({
  heartbeatIntervalMs: peers.heartbeat,
  silenceMs: peers.silence,
  listIntervalMs: platform.list_refresh,
});
