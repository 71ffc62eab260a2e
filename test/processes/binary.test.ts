import { randomUUID } from 'node:crypto'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import type { StatusReport } from '../../src/observability/operatorApi.ts'
import { ManagedProcess, runToCompletion } from './childProcess.ts'
import { CallerClient } from './callerClient.ts'
import { PROGRAM } from './testTeam.ts'
import { waitUntil } from './waitUntil.ts'

/** Long enough that the test sees the request run on a busy machine. */
const RUN_MS = 5_000

test.serial('the binary starts without the sources', async t => {
  const { code, output } = await runToCompletion([...PROGRAM, '--help'])
  t.is(code, 0)
  t.regex(output, /agategauge <command>/)
})

test.serial('invalid settings are rejected with the line and a suggestion', async t => {
  const directory = await mkdtemp(join(tmpdir(), 'agategauge-'))
  t.teardown(async () => await rm(directory, { recursive: true }))
  const file = join(directory, 'entry-1.ini')
  await writeFile(file, 'name = entry-1\ndataCentre = attica-a\nregoin = attica\ncallerAddress = nowhere\n')
  const { code, errorOutput } = await runToCompletion([...PROGRAM, 'serve', '--settings', file])
  t.is(code, 1)
  t.true(errorOutput.includes(`${file}:3: there is no setting "regoin"`), errorOutput)
  t.true(errorOutput.includes('region'), errorOutput)
  t.true(errorOutput.includes(`${file}:4: callerAddress = "nowhere" is not an address; write HOST:PORT`), errorOutput)
})

test.serial('an embedded instance completes an open request when it is told to stop', async t => {
  const instance = new ManagedProcess('embedded', [...PROGRAM, 'serve', '--embedded'])
  const client = new CallerClient()
  t.teardown(async () => {
    await client.close()
    await instance.kill()
  })
  const { callers, operators, token } = JSON.parse(await instance.waitForLine(line => line.startsWith('{"callers"'))) as Readonly<Record<'callers' | 'operators' | 'token', string>>
  await waitUntil('the targets are in use', async () => (await client.run(callers, undefined, { id: randomUUID(), queue: 'demo' })).status === 200)
  const answer = client.run(callers, undefined, { id: 'quote-1', queue: 'demo', payload: { runMs: RUN_MS, answer: { price: 42 } } })
  await waitUntil('the request runs', async () => {
    const response = await fetch(`http://${operators}/v1/status`, { headers: { authorization: `Bearer ${token}` } })
    return (await response.json() as StatusReport).targets.some(({ type, free, capacity }) => type === 'runner' && free.slots < capacity.slots)
  })
  t.deepEqual(await Promise.all([instance.stop(), answer.then(({ body }) => body.toString())]), [{ code: 0, signal: null }, '{"price":42}'])
})
