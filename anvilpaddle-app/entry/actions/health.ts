import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { STOP_STAGE } from '../../process/program';
import { ACTION_ACCESS, type Action } from '../action';
import { answerJson } from '../apiResult';

/** GET /ready: whether the balancer may send requests here. */
export const readReadiness: Action = {
  name: 'ready',
  method: 'GET',
  path: '/ready',
  access: ACTION_ACCESS.open,
  run: async (exchange, services) =>
    services.getStopStage() !== STOP_STAGE.serving
      ? newFailure(newApiError('stopping', 'this entry is stopping'))
      : answerJson(exchange, { ready: true, revision: services.config.current().revision }),
};
