import { getSettingOrigins, type Config } from '@anvilpaddle/decisions';
import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { respondJson } from '../apiResult';

const getTeamLimits = ({ teams, settingsByLevel: levels }: Config) =>
  [...teams.keys()].sort().map((team) => {
    const origins = getSettingOrigins(levels, { team });
    const getValue = (name: string): string =>
      origins.find((origin) => origin.name === name)?.text ?? '';
    return { team, rate: getValue('limits.rate'), burst: getValue('limits.burst') };
  });

/** GET /operator/v1/status: what this entry sees of the fleet and has measured. */
export const readStatus: Action = {
  name: 'operator.status',
  method: 'GET',
  path: '/operator/v1/status',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) =>
    respondJson(exchange, {
      vm: services.vm,
      revision: services.config.current().revision,
      configAgeMs: Math.round(services.config.ageMs()),
      stage: services.getStopStage(),
      members: services.members.live(),
      limits: getTeamLimits(exchange.config),
      tokens: services.limits.status(),
      histograms: services.metrics.summaries(),
      counts: services.metrics.counts(),
    }),
};

/** GET /operator/v1/effective?team=…&route=…: each setting and the level it comes from. */
export const readEffectiveSettings: Action = {
  name: 'operator.effective',
  method: 'GET',
  path: '/operator/v1/effective',
  access: ACTION_ACCESS.operator,
  run: async (exchange) => {
    const query = exchange.url.searchParams;
    const settings = getSettingOrigins(exchange.config.settingsByLevel, {
      failureDomain: query.get('failure-domain') ?? undefined,
      route: query.get('route') ?? undefined,
      team: query.get('team') ?? undefined,
      key: query.get('key') ?? undefined,
      job: query.get('job') ?? undefined,
    });
    return respondJson(exchange, { revision: exchange.config.revision, settings });
  },
};
