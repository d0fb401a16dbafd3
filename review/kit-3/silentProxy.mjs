/** A TCP proxy whose open connections can go silent for good, without a reset, while new ones work. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';

export const startSilentProxy = async (target) => {
  const [targetHost, targetPort] = target.split(':');
  const pairs = new Set();
  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    const end = () => {
      pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        if (!pair.isSilent) to.write(chunk);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => {
        if (!pair.isSilent) end();
      });
      from.on('close', () => {
        if (!pair.isSilent) end();
      });
    };
    forward(near, far);
    forward(far, near);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Makes all connections that are open now silent; returns their number. */
    silence: () => {
      const open = [...pairs].filter(({ isSilent }) => !isSilent);
      open.forEach((pair) => Object.assign(pair, { isSilent: true }));
      return open.length;
    },
    close: () => {
      server.close();
      pairs.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
};
