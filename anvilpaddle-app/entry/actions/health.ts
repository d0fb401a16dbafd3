/** Readiness check for the load balancer. */
import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { newKeysUnconfirmedError } from '../../controllers/keyWatch';
import { STOP_STAGE } from '../../process/program';
import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { respondJson } from '../apiResult';

/** GET /ready: whether the load balancer may send requests to this process. */
export const readReadiness: Action = {
  name: 'ready',
  method: 'GET',
  path: '/ready',
  access: ACTION_ACCESS.open,
  run: async (exchange, dependencies) => {
    if (dependencies.getStopStage() !== STOP_STAGE.serving) {
      return newFailure(newApiError('stopping', 'this entry is stopping'));
    }
    if (dependencies.config.ageMs() > exchange.settings['keys.max_age']) {
      return newFailure(newKeysUnconfirmedError());
    }
    return respondJson(exchange, { ready: true, revision: dependencies.config.current().revision });
  },
};
