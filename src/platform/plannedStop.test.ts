import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import { request } from 'undici'
import { chooseHost } from '../../test/processes/topology.ts'
import { encodeHeaders, encodeJob, STAND_IN_KEY } from './standIn/standInPlatform.ts'
import { Cluster } from './testing/cluster.ts'

/** The platform kills the process at this time after the signal. */
const GRACE_MS = 6_000

// Guards against steps of the stop that add up beyond the grace period, so that the process is killed with calls open.
test('when the store falls silent during a planned stop, a call of a patient caller is answered and the stop ends before the kill', async t => {
  const cluster = await Cluster.start(2)
  t.teardown(async () => {
    cluster.platform.store.fault = 'none'
    await cluster.stop()
  })
  const stopping = 1 - cluster.coordinator()
  const submit = async (id: string): Promise<number> => (await request(`http://${chooseHost()}:${cluster.ports[stopping]}/checks/${id}`, {
    method: 'POST',
    body: encodeJob('x', [{ count: 1, processors: 100, estimateMs: 50 }]),
    headers: { ...encodeHeaders(STAND_IN_KEY), 'x-agategauge-deadline-ms': '20000' }
  })).statusCode
  t.is(await submit('0000000000000001'), 200)
  const stopped = cluster.instances[stopping]?.stop()
  cluster.platform.store.fault = 'silent'
  const outcome = await Promise.race([Promise.all([submit('0000000000000002'), submit('0000000000000003'), stopped]), delay(GRACE_MS, 'killed with calls open')])
  t.deepEqual(outcome, [504, 504, undefined])
})
