/** List of models. */
import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { respondJson } from '../apiResult';

/** GET /v1/models: models that are served now and that the caller's team may use. */
export const listModels: Action = {
  name: 'models.list',
  method: 'GET',
  path: '/v1/models',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const allowed = exchange.config.teams.get(exchange.team ?? '')?.models;
    const served = new Set(dependencies.members.live().flatMap(({ models }) => models));
    const data = [...served]
      .filter((id) => allowed === undefined || allowed.includes(id))
      .sort()
      .map((id) => ({ id, object: 'model', created: 0, owned_by: 'anvilpaddle' }));
    return respondJson(exchange, { object: 'list', data });
  },
};
