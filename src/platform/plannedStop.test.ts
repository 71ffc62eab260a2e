import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import { request } from 'undici'
import { ManagedProcess } from '../../test/processes/childProcess.ts'
import { chooseHost } from '../../test/processes/topology.ts'
import { encodeHeaders, encodeJob, STAND_IN_KEY } from './standIn/standInPlatform.ts'
import { Cluster } from './testing/cluster.ts'

/** The platform kills the process at this time after the signal. */
const GRACE_MS = 6_000
const PORT = 23_950

// Guards against steps of the stop that add up beyond the grace period, so that the process is killed with calls open.
test('when the store falls silent during a planned stop, a call of a patient caller is answered and the process ends before the kill', async t => {
  const cluster = await Cluster.start(1)
  const file = join(mkdtempSync(join(tmpdir(), 'stop-')), 'local.toml')
  writeFileSync(file, cluster.platform.settingsFor('entry-9', PORT, undefined, chooseHost()))
  const stopping = new ManagedProcess('entry-9', [process.execPath, '--import=tsx', 'src/main.ts', 'serve', '--platform'], { environment: { AGATEGAUGE_CONFIG: file } })
  t.teardown(async () => {
    cluster.platform.store.fault = 'none'
    await stopping.kill()
    await cluster.stop()
  })
  const submit = async (id: string): Promise<number> => (await request(`http://${chooseHost()}:${PORT}/checks/${id}`, {
    method: 'POST',
    body: encodeJob('x', [{ count: 1, processors: 100, estimateMs: 50 }]),
    headers: { ...encodeHeaders(STAND_IN_KEY), 'x-agategauge-deadline-ms': '20000' }
  })).statusCode
  await cluster.waitUntil('the process serves', async () => await submit('0000000000000001').catch(() => 0) === 200)
  const stopped = stopping.stop()
  cluster.platform.store.fault = 'silent'
  const outcome = await Promise.race([Promise.all([submit('0000000000000002'), submit('0000000000000003'), stopped]), delay(GRACE_MS, 'killed')])
  t.deepEqual(outcome, [504, 504, { code: 0, signal: null }])
})
