// Tests a sender with third-party clients and their default settings: ioredis and node-redis at the RESP2 listener,
// curl at the HTTP listener. The Redis clients connect, put, get, wait, pipeline 100 messages, and continue after the
// sender was killed and restarted.
//     npm install --prefix /tmp/clients ioredis redis
//     NODE_PATH=/tmp/clients/node_modules node tests/clients/node_clients.mjs build/grademux_sender
// Prints one line of JSON; the exit status is 0 only if each client passed.
import { execFile, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { createRequire } from 'node:module';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

const require = createRequire((process.env.NODE_PATH ?? process.cwd()) + '/');
const [program] = process.argv.slice(2);
if (!program) {
  console.error('usage: node_clients.mjs SENDER');
  process.exit(2);
}
const listen = (server) => new Promise((done) => server.listen(0, '127.0.0.1', () => done(server.address().port)));
const freePort = async () => {
  const server = net.createServer();
  const port = await listen(server);
  await new Promise((done) => server.close(done));
  return port;
};
const pause = (ms) => new Promise((done) => setTimeout(done, ms));

const shop = http.createServer((request, response) => request.resume().on('end', () => response.end()));
const folder = mkdtempSync(join(tmpdir(), 'grademux-clients-'));
const [shopPort, respPort, httpPort] = [await listen(shop), await freePort(), await freePort()];
const file = join(folder, 'grademux.toml');
writeFileSync(file, `[[door]]\nkind = "resp"\nlisten = "127.0.0.1:${respPort}"\n
[[door]]\nkind = "http"\nlisten = "127.0.0.1:${httpPort}"\n
[[class]]\nname = "order"\neffect = "keyed"\nmemory = "1 min"\n
[[partner]]\nname = "shop"\nendpoints = ["127.0.0.1:${shopPort}"]\n`);
let sender;
const start = async () => {
  sender = spawn(program, ['run', '--daemon', file], { stdio: 'ignore' });
  for (let tries = 0; tries < 600; ++tries) {
    const open = await new Promise((done) => {
      const socket = net.connect(httpPort, '127.0.0.1', () => { socket.destroy(); done(true); })
        .on('error', () => done(false));
    });
    if (open) return;
    await pause(50);
  }
  throw new Error('the sender does not listen at its HTTP address after 600 tries');
};
const kill = () => new Promise((done) => { sender.once('exit', done); sender.kill('SIGKILL'); });

const put = (id) => ['MSG.PUT', '0', id, `c=order,d=20000,k=${id},dest=shop`, 'a body'];
async function runScenario(name, ask, pipeline) {
  const result = { put: await ask(put(name)) };
  result.end = (await ask(['MSG.WAIT', name, '15000']))[1];
  result.get = (await ask(['MSG.GET', name]))[1];
  result.unknown = await ask(['MSG.GET', `${name}-nobody`]);
  const all = await pipeline(Array.from({ length: 100 }, (_, i) => put(`${name}-${i}`)));
  result.pipelined = all.filter((reply) => reply === 'OK').length;
  await kill();
  await start();
  for (let tries = 0; tries < 100 && result.after === undefined; ++tries) {
    try {
      result.after = (await ask(['MSG.WAIT', `${name}-99`, '15000']))[1];
    } catch {  // the client must repeat a request that was pending when the connection broke
      await pause(100);
    }
  }
  result.works = result.put === 'OK' && result.end === 'delivered' && result.get === 'delivered' &&
    result.unknown === null && result.pipelined === 100 && result.after === 'delivered';
  return result;
}

const results = {};
await start();
{
  const Redis = require('ioredis');
  const client = new Redis(respPort, '127.0.0.1');
  client.on('error', () => {});
  await new Promise((done) => client.once('ready', done));
  results.ioredis = await runScenario('ioredis', (words) => client.call(...words), async (all) => {
    const batch = client.pipeline();
    for (const words of all) batch.call(...words);
    return (await batch.exec()).map(([error, answer]) => error ?? answer);
  });
  await client.quit();
}
{
  const { createClient } = require('redis');
  const client = createClient({ url: `redis://127.0.0.1:${respPort}` });
  client.on('error', () => {});
  await client.connect();
  results.node_redis = await runScenario('node-redis', (words) => client.sendCommand(words),
    (all) => Promise.all(all.map((words) => client.sendCommand(words))));
  await (client.close ?? client.quit).call(client);
}
{
  const url = `http://127.0.0.1:${httpPort}/v1/messages/curl`;
  const curl = async (...words) => (await promisify(execFile)('curl', ['-s', ...words])).stdout;
  const body = '{"class":"order","destination":"shop","deadline_ms":20000,"key":"c","body":"a body"}';
  const answer = await curl('-X', 'PUT', url, '-H', 'Content-Type: application/json', '-H', 'Prefer: wait=10',
    '-H', 'Idempotency-Key: c', '-d', body);
  const state = JSON.parse(await curl(url)).state;
  results.curl = { state, works: state === 'delivered', answer: answer.trim().slice(0, 200) };
}
await kill();
shop.close();
rmSync(folder, { recursive: true });
const holds = Object.values(results).every((result) => result.works);
console.log(JSON.stringify({ ...results, holds }));
process.exit(holds ? 0 : 1);
