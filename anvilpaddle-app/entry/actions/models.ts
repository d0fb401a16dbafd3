import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { respondJson } from '../apiResult';

/** GET /v1/models: the models that the caller's team may use now. */
export const listModels: Action = {
  name: 'models.list',
  method: 'GET',
  path: '/v1/models',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const allowed = exchange.config.teams.get(exchange.team ?? '')?.models;
    const served = new Set(services.members.live().flatMap(({ models }) => models));
    const data = [...served]
      .filter((id) => allowed === undefined || allowed.includes(id))
      .sort()
      .map((id) => ({ id, object: 'model', created: 0, owned_by: 'anvilpaddle' }));
    return respondJson(exchange, { object: 'list', data });
  },
};
