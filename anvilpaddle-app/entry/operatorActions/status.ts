/** Operators' API: status and effective settings. */
import { getSettingOrigins, type Config } from '@anvilpaddle/decisions';
import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { respondJson } from '../apiResult';

const getTeamLimits = ({ teams, settingsByLevel }: Config) =>
  [...teams.keys()].sort().map((team) => {
    const origins = getSettingOrigins(settingsByLevel, { team });
    const getValue = (name: string): string =>
      origins.find((origin) => origin.name === name)?.text ?? '';
    return { team, rate: getValue('limits.rate'), burst: getValue('limits.burst') };
  });

/** GET /operator/v1/status: the fleet as this entry process sees it, with limits and metrics. */
export const readStatus: Action = {
  name: 'operator.status',
  method: 'GET',
  path: '/operator/v1/status',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) =>
    respondJson(exchange, {
      vm: dependencies.vm,
      revision: dependencies.config.current().revision,
      configAgeMs: Math.round(dependencies.config.ageMs()),
      stage: dependencies.getStopStage(),
      members: dependencies.members.live(),
      limits: getTeamLimits(exchange.config),
      tokens: dependencies.limits.status(),
      histograms: dependencies.metrics.summaries(),
      counts: dependencies.metrics.counts(),
    }),
};

/** GET /operator/v1/effective?team=…&route=…: settings with the level that each comes from. */
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
