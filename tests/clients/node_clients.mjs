// Clients that nobody here wrote, with their usual settings, at a sender of their own: ioredis, node-redis, and curl
// at the HTTP door. Connects, puts, gets, waits, pipelines 100, and goes on after the sender was killed.
//     npm install --prefix /tmp/clients ioredis redis
//     NODE_PATH=/tmp/clients/node_modules node tests/clients/node_clients.mjs build/grademux_sender
// Prints one line of JSON; exit status 0 only if all of it worked.
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
const listening = (server) => new Promise((done) => server.listen(0, '127.0.0.1', () => done(server.address().port)));
const freePort = async () => {
  const server = net.createServer();
  const port = await listening(server);
  await new Promise((done) => server.close(done));
  return port;
};
const pause = (ms) => new Promise((done) => setTimeout(done, ms));

const shop = http.createServer((request, response) => request.resume().on('end', () => response.end()));
const folder = mkdtempSync(join(tmpdir(), 'grademux-clients-'));
const [shopPort, resp, web] = [await listening(shop), await freePort(), await freePort()];
const file = join(folder, 'grademux.toml');
writeFileSync(file, `[[door]]\nkind = "resp"\nlisten = "127.0.0.1:${resp}"\n
[[door]]\nkind = "http"\nlisten = "127.0.0.1:${web}"\n
[[class]]\nname = "order"\neffect = "keyed"\nmemory = "1 min"\n
[[partner]]\nname = "shop"\nendpoints = ["127.0.0.1:${shopPort}"]\n`);
let sender;
const start = async () => {
  sender = spawn(program, ['run', '--daemon', file], { stdio: 'ignore' });
  for (let tries = 0; tries < 600; ++tries) {
    const open = await new Promise((done) => {
      const s = net.connect(web, '127.0.0.1', () => { s.destroy(); done(true); }).on('error', () => done(false));
    });
    if (open) return;
    await pause(50);
  }
  throw new Error('the sender does not open its doors');
};
const kill = () => new Promise((done) => { sender.once('exit', done); sender.kill('SIGKILL'); });

const put = (id) => ['MSG.PUT', '0', id, `c=order,d=20000,k=${id},dest=shop`, 'a body'];
async function play(name, ask, pipeline) {
  const result = { put: await ask(put(name)) };
  result.end = (await ask(['MSG.WAIT', name, '15000']))[1];
  result.get = (await ask(['MSG.GET', name]))[1];
  result.unknown = await ask(['MSG.GET', `${name}-nobody`]);
  const all = await pipeline(Array.from({ length: 100 }, (_, i) => put(`${name}-${i}`)));
  result.pipelined = all.filter((a) => a === 'OK').length;
  await kill();
  await start();
  for (let tries = 0; tries < 100 && result.after === undefined; ++tries) {
    try {
      result.after = (await ask(['MSG.WAIT', `${name}-99`, '15000']))[1];
    } catch {  // a request that was under way with the connection is the client's to repeat
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
  const client = new Redis(resp, '127.0.0.1');
  client.on('error', () => {});
  await new Promise((done) => client.once('ready', done));
  results.ioredis = await play('ioredis', (w) => client.call(...w), async (all) => {
    const p = client.pipeline();
    for (const w of all) p.call(...w);
    return (await p.exec()).map(([error, answer]) => error ?? answer);
  });
  await client.quit();
}
{
  const { createClient } = require('redis');
  const client = createClient({ url: `redis://127.0.0.1:${resp}` });
  client.on('error', () => {});
  await client.connect();
  results.node_redis = await play('node-redis', (w) => client.sendCommand(w),
    (all) => Promise.all(all.map((w) => client.sendCommand(w))));
  await (client.close ?? client.quit).call(client);
}
{
  const url = `http://127.0.0.1:${web}/v1/messages/curl`;
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
const holds = Object.values(results).every((r) => r.works);
console.log(JSON.stringify({ ...results, holds }));
process.exit(holds ? 0 : 1);
