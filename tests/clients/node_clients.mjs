// Two clients that nobody here wrote, ioredis and node-redis, with their usual settings, at a running RESP2 door:
//     npm install --prefix /tmp/clients ioredis redis
//     NODE_PATH=/tmp/clients/node_modules node tests/clients/node_clients.mjs PORT CLASS DESTINATION
// Connects, puts, gets, waits, pipelines 100. Prints one line of JSON; exit status 0 only if all of it worked.
import { createRequire } from 'node:module';

const require = createRequire((process.env.NODE_PATH ?? process.cwd()) + '/');
const [port, cls, destination] = process.argv.slice(2);
if (!destination) {
  console.error('usage: node_clients.mjs PORT CLASS DESTINATION');
  process.exit(2);
}
const run = Date.now().toString(36);
const put = (id) => ['MSG.PUT', '0', id, `c=${cls},d=20000,k=${id},dest=${destination}`, 'a body'];

async function play(name, ask, pipeline) {
  const id = `${name}-${run}`;
  const result = { put: await ask(put(id)) };
  const end = await ask(['MSG.WAIT', id, '15000']);
  result.end = end[1];
  result.get = (await ask(['MSG.GET', id]))[1];
  result.unknown = await ask(['MSG.GET', `${id}-nobody`]);
  const all = await pipeline(Array.from({ length: 100 }, (_, i) => put(`${id}-${i}`)));
  result.pipelined = all.filter((a) => a === 'OK').length;
  result.works = result.put === 'OK' && result.end === 'delivered' && result.get === 'delivered' &&
    result.unknown === null && result.pipelined === 100;
  return result;
}

const results = {};
{
  const Redis = require('ioredis');
  const client = new Redis(Number(port), '127.0.0.1');
  await new Promise((done, fail) => { client.once('ready', done); client.once('error', fail); });
  results.ioredis = await play('ioredis', (w) => client.call(...w), async (all) => {
    const p = client.pipeline();
    for (const w of all) p.call(...w);
    return (await p.exec()).map(([error, answer]) => error ?? answer);
  });
  await client.quit();
}
{
  const { createClient } = require('redis');
  const client = createClient({ url: `redis://127.0.0.1:${port}` });
  await client.connect();
  results.node_redis = await play('node-redis', (w) => client.sendCommand(w),
    (all) => Promise.all(all.map((w) => client.sendCommand(w))));
  await (client.close ?? client.quit).call(client);
}
const holds = Object.values(results).every((r) => r.works);
console.log(JSON.stringify({ ...results, holds }));
process.exit(holds ? 0 : 1);
