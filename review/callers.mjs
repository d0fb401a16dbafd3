/** Callers of one tenant: each sends at its own pace to the gateway that the balancer gave it. */
import { Agent, request } from 'node:http';

/** Time without an event after which a caller abandons a stream. */
const PATIENCE_MS = 2000;
const DEADLINE_MS = 5000;
const BODY = 'x'.repeat(200);

/** Starts callers; `attempts` gets an entry for each request. */
export const newCallers = ({
  host,
  key,
  attempts,
  record,
  path = '/stream/1',
  patienceMs = PATIENCE_MS,
  onAnswer = () => undefined,
}) => {
  let count = 0;
  const timers = new Set();
  const agents = new Map();

  const getAgent = (gateway) => {
    if (!agents.has(gateway)) agents.set(gateway, new Agent({ keepAlive: true }));
    return agents.get(gateway);
  };

  const send = (gateway, headers = {}, body = BODY) => {
    count += 1;
    const id = `r${process.pid.toString(16)}${count.toString(16).padStart(6, '0')}`;
    const attempt = { id, gateway: gateway.name, sentMs: performance.now(), status: undefined };
    attempts.set(id, attempt);
    record.add(`${id} sent to ${gateway.name}`);
    const finish = (status) => {
      if (attempt.status !== undefined) return;
      attempt.status = status;
      record.add(`${id} answered ${status}`);
    };
    const call = request(
      {
        host: gateway.host,
        port: gateway.port,
        method: 'POST',
        path,
        agent: getAgent(gateway),
        headers: {
          host,
          authorization: `Bearer ${key}`,
          'request-id': id,
          'deadline-ms': String(DEADLINE_MS),
          ...headers,
        },
      },
      (message) => {
        onAnswer({ gateway: gateway.name, headers: message.headers });
        message.resume();
        message.on('error', () => finish('cut'));
        message.on('end', () => finish(message.statusCode));
        message.on('close', () => finish('cut'));
      },
    );
    call.setTimeout(patienceMs, () => call.destroy());
    call.on('error', () => finish('lost'));
    call.end(body);
    return attempt;
  };

  return {
    /** Sends one request with these headers besides the usual ones, and this body. */
    send,
    /** Starts to send to a gateway at a rate, in requests per second; the result ends it. */
    start: (gateway, perSecond, getHeaders = () => ({})) => {
      const startedMs = performance.now();
      let sent = 0;
      const timer = setInterval(() => {
        const due = ((performance.now() - startedMs) * perSecond) / 1000;
        for (; sent < due; sent += 1) send(gateway, getHeaders());
      }, 5);
      timers.add(timer);
      return () => clearInterval(timer);
    },
    close: () => {
      timers.forEach((timer) => clearInterval(timer));
      agents.forEach((agent) => agent.destroy());
    },
  };
};
