import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { newKeysUnconfirmedError } from '../../controllers/keyWatch';
import { STOP_STAGE } from '../../process/program';
import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { answerJson } from '../apiResult';

/** GET /ready: whether the balancer may send requests here. */
export const readReadiness: Action = {
  name: 'ready',
  method: 'GET',
  path: '/ready',
  access: ACTION_ACCESS.open,
  run: async (exchange, services) => {
    if (services.getStopStage() !== STOP_STAGE.serving) {
      return newFailure(newApiError('stopping', 'this entry is stopping'));
    }
    if (services.config.ageMs() > exchange.settings['keys.max_age']) {
      return newFailure(newKeysUnconfirmedError());
    }
    return answerJson(exchange, { ready: true, revision: services.config.current().revision });
  },
};
