/** Measures the latency that one entry instance adds: the same task is sent to a target directly and through the instance. */
import { randomUUID } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { setImmediate as yieldToEventLoop, setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { SeededRandom } from '../src/adapters/random/seededRandom.ts'
import { Cluster } from '../test/processes/cluster.ts'
import { createTeam, PROGRAM } from '../test/processes/testTeam.ts'
import { chooseHost } from '../test/processes/topology.ts'
import { waitUntil } from '../test/processes/waitUntil.ts'

const SEED = 42
const WARM_UP_REQUESTS = 2_000
const MEASURED_SECONDS = 5
/** Time before a call is due in which the benchmark polls the clock instead of using a timer. */
const TIMER_SLACK_MS = 2
/** Requests per second of the open-loop runs. */
const RATES = [100, 250, 500, 1_000]
const MICROSECONDS_PER_MS = 1_000
const MS_PER_SECOND = 1_000
const LAYOUT = [{ name: 'attica-a', region: 'attica', instances: 1, runners: 4, workers: 0 }]
/** Callers of the closed-loop run, which measures the maximum rate. */
const CLOSED_LOOP_CALLERS = 32
const CLOSED_LOOP_SECONDS = 4
const CONNECTIONS = 64
const LEASE_MS = 15_000
const START_BY_MS = 60_000

type Send = () => Promise<boolean>

interface OpenLoopResult {
  readonly histogram: Histogram
  readonly failed: number
}

/** Sends at exponentially distributed intervals, regardless of responses; latency is measured from the intended start. */
async function runOpenLoop (send: Send, rate: number, seed: number): Promise<OpenLoopResult> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const random = new SeededRandom(seed)
  const calls: Promise<void>[] = []
  let failed = 0
  const startedAt = performance.now()
  let intendedAt = startedAt
  while (intendedAt < startedAt + MEASURED_SECONDS * MS_PER_SECOND) {
    intendedAt += -Math.log(1 - random.next()) * MS_PER_SECOND / rate
    const waitMs = intendedAt - performance.now()
    if (waitMs > TIMER_SLACK_MS) await sleep(waitMs - TIMER_SLACK_MS)
    // A timer fires up to 1 ms late, which would count as latency; a call sent early would hide some latency.
    while (performance.now() < intendedAt) await yieldToEventLoop()
    const intended = intendedAt
    calls.push(send().then(succeeded => {
      if (!succeeded) failed++
      histogram.recordValue(Math.max(1, Math.round((performance.now() - intended) * MICROSECONDS_PER_MS)))
    }))
  }
  await Promise.all(calls)
  return { histogram, failed }
}

/** Returns the requests per second of a fixed number of callers with one request each at a time. */
async function runClosedLoop (send: Send): Promise<number> {
  let done = 0
  const until = performance.now() + CLOSED_LOOP_SECONDS * MS_PER_SECOND
  await Promise.all(Array.from({ length: CLOSED_LOOP_CALLERS }, async () => {
    while (performance.now() < until) if (await send()) done++
  }))
  return done / CLOSED_LOOP_SECONDS
}

async function post (pool: Pool, path: string, body: unknown, key?: string): Promise<boolean> {
  const { statusCode, body: answer } = await pool.request({
    method: 'POST',
    path,
    body: JSON.stringify(body),
    headers: { 'content-type': 'application/json', ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) }
  })
  await answer.dump()
  return statusCode === 200
}

/** Creates functions that send through the instance, and directly to the targets (round-robin, under their current epochs). */
async function createSenders (cluster: Cluster, key: string, pools: Pool[]): Promise<{ readonly direct: Send, readonly through: Send }> {
  const openPool = (address: string): Pool => {
    const pool = new Pool(`http://${address}`, { connections: CONNECTIONS })
    pools.push(pool)
    return pool
  }
  const instance = openPool(cluster.instances[0]!.addresses.caller)
  const epochs = new Map((await cluster.readRecords()).map(({ target, epoch }) => [target, epoch]))
  const targets = cluster.targets.map(({ id, address }) => ({ pool: openPool(address), epoch: epochs.get(id) ?? 1 }))
  const size = { slots: 1, processors: 0, memory: 0, accelerators: 0 }
  let next = 0
  return {
    through: async () => await post(instance, '/v1/requests', { id: randomUUID(), kind: 'urgent', repeatable: true, payload: { answer: 1 } }, key),
    direct: async () => {
      const { pool, epoch } = targets[next++ % targets.length]!
      const taskId = randomUUID()
      return await post(pool, '/v1/tasks', {
        taskId, attemptId: taskId, requestId: taskId, team: 'bench', kind: 'urgent', name: 'default', size, epoch, leaseMs: LEASE_MS, startByWallMs: Date.now() + START_BY_MS, payload: { answer: 1 }, detached: false
      })
    }
  }
}

function formatMs (histogram: Histogram, percentile: number): string {
  return (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(2)
}

async function measure ({ direct, through }: { readonly direct: Send, readonly through: Send }): Promise<void> {
  for (let sent = 0; sent < WARM_UP_REQUESTS; sent++) await Promise.all([direct(), through()])
  console.log('Latency in ms from the intended start; added latency is the difference of the percentiles.')
  const rows = []
  for (const rate of RATES) {
    const [base, instance] = [await runOpenLoop(direct, rate, SEED), await runOpenLoop(through, rate, SEED)]
    const added = (percentile: number): string =>
      ((instance.histogram.getValueAtPercentile(percentile) - base.histogram.getValueAtPercentile(percentile)) / MICROSECONDS_PER_MS).toFixed(2)
    rows.push({
      'requests/s': rate,
      'direct p50': formatMs(base.histogram, 50),
      'direct p99': formatMs(base.histogram, 99),
      'instance p50': formatMs(instance.histogram, 50),
      'instance p99': formatMs(instance.histogram, 99),
      'added p50': added(50),
      'added p99': added(99),
      failed: base.failed + instance.failed
    })
  }
  console.table(rows)
  console.table([{ callers: CLOSED_LOOP_CALLERS, 'direct requests/s': await runClosedLoop(direct), 'instance requests/s': await runClosedLoop(through) }])
}

/**
 * Starts one instance and stand-ins as separate processes and prints a table.
 *
 * @example
 * await runThinPathBench()
 */
export async function runThinPathBench (): Promise<void> {
  const cluster = await Cluster.start({ layout: LAYOUT, host: chooseHost(), program: PROGRAM })
  const pools: Pool[] = []
  try {
    const senders = await createSenders(cluster, await createTeam(cluster, 'bench', []), pools)
    await waitUntil('the instance and the targets respond', async () => await senders.direct() && await senders.through())
    await measure(senders)
  } finally {
    await Promise.all(pools.map(async pool => await pool.destroy()))
    await cluster.stop()
  }
}
