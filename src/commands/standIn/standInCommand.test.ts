import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import yargs from 'yargs'
import { SystemClock } from '../../adapters/clock/systemClock.ts'
import { HttpClient } from '../../adapters/http/httpClient.ts'
import { HttpInstanceList } from '../../adapters/list/httpInstanceList.ts'
import { HttpStore } from '../../adapters/store/httpStore.ts'
import { HttpTargetClient } from '../../adapters/target/httpTargetClient.ts'
import { resources } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import { createStandInCommand } from './standInCommand.ts'

const WORKER: TargetInfo = {
  id: 'worker-1',
  type: 'worker',
  address: '127.0.0.1:0',
  dataCentre: 'matigara',
  region: 'Siliguri',
  rack: 'rack-1',
  capacity: resources({ processors: 32_000, memory: 65_536 }),
  connections: 16,
  features: { fencing: true, startBy: true, inventory: true, checkpoint: true },
  leaving: false
}

interface ListeningLine {
  readonly listening: string
  readonly targets?: Readonly<Record<string, string>>
}

/** Runs the command until the test ends; resolves with its first line of output. */
async function runCommand (t: ExecutionContext, ...args: readonly string[]): Promise<ListeningLine> {
  let stop = (): void => {}
  const stopped = new Promise<void>(resolve => { stop = resolve })
  return await new Promise((resolve, reject) => {
    const command = createStandInCommand({ writeLine: line => resolve(JSON.parse(line)), waitForStop: () => stopped })
    const finished = yargs(['stand-in', ...args]).strict().exitProcess(false).fail(false).command(command).parseAsync()
    finished.catch(reject)
    t.teardown(async () => {
      stop()
      await finished.catch(() => {})
    })
  })
}

async function writeJson (t: ExecutionContext, value: unknown): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'stand-in-'))
  t.teardown(() => rm(directory, { recursive: true }))
  await writeFile(join(directory, 'file.json'), JSON.stringify(value))
  return join(directory, 'file.json')
}

test('every stand-in serves requests at the address that it prints', async t => {
  const snapshot = { instances: [], targets: [WORKER] }
  const lines = [
    await runCommand(t, 'store'),
    await runCommand(t, 'list', '--instances', await writeJson(t, snapshot)),
    await runCommand(t, 'targets', '--file', await writeJson(t, [WORKER]))
  ]
  const [storeAddress = '', listAddress = '', controlAddress = ''] = lines.map(line => line.listening)
  const store = new HttpStore({ address: storeAddress })
  const list = new HttpInstanceList({ address: listAddress })
  const control = new HttpClient({ address: controlAddress, clock: new SystemClock(), connectTimeoutMs: 1_000 })
  const client = new HttpTargetClient()
  t.teardown(() => Promise.all([store.stop(), list.stop(), control.close(), client.close()]))
  t.like(await store.put('key', 'a', { expectedVersion: 0 }), { outcome: 'written' })
  t.deepEqual(await list.read(), snapshot)
  const target = { ...WORKER, address: lines[2]?.targets?.['worker-1'] ?? '' }
  t.deepEqual(await client.fence(target, 1), { outcome: 'fenced', tasks: [] })
  t.like(await control.callJson({ method: 'PUT', path: '/v1/targets/worker-1', body: { crashed: true } }), { status: 200 })
  await t.throwsAsync(client.usage(target))
  t.like(await control.callJson({ method: 'GET', path: '/v1/targets' }), { status: 200, body: [{ target: 'worker-1', epoch: 1 }] })
})

test('a stand-in does not start with an invalid or missing file, or without its required option', async t => {
  const file = await writeJson(t, [{ ...WORKER, connections: 0 }])
  await t.throwsAsync(runCommand(t, 'targets', '--file', file), { message: /\[0\]\.connections/ })
  await t.throwsAsync(runCommand(t, 'targets', '--file', `${file}.absent`), { message: /can not be read as JSON/ })
  await t.throwsAsync(runCommand(t, 'list'), { message: /instances/ })
})
