/**
 * Embeds four modules of the library without running an instance: placement with a queue, claims, the
 * change log and an in-memory target. Run it with `npx tsx examples/embedding.ts`.
 */
import { pathToFileURL } from 'node:url'
import {
  ChangeLog, ClaimLog, FairQueue, findSetting, findWorkload, LifecycleManager, ManualClock, MemoryStore, MemoryTargetClient,
  resources, SeededRandom, ShareLedger, StandInTarget, TargetPool
} from 'agategauge'
import type { TargetInfo } from 'agategauge'

const STOP_TIMEOUT_MS = 1_000
const LEASE_MS = 15_000
const ONE_SLOT = resources({ slots: 1 })

const RUNNER: TargetInfo = {
  id: 'runner-1',
  type: 'runner',
  address: '127.0.0.1:7000',
  dataCentre: 'howrah',
  region: 'kolkata',
  rack: 'rack-1',
  capacity: resources({ slots: 2 }),
  connections: 8,
  features: { fencing: true, startBy: true, inventory: true, checkpoint: false },
  leaving: false
}

/** Places three requests on a runner with two slots and runs the first; returns one line of output per step. */
export async function runEmbedding (): Promise<readonly string[]> {
  const lines: string[] = []
  const clock = new ManualClock()
  const random = new SeededRandom(1)
  const store = new MemoryStore(clock)
  const claims = new ClaimLog({ store, clock })
  const log = new ChangeLog({ store, clock, random, validate: () => [], mayAccept: () => true })
  const manager = new LifecycleManager(STOP_TIMEOUT_MS)
  manager.add(claims)
  await manager.start()

  const operations = [{ type: 'set' as const, path: '/teams/quays' as const, values: { share: 3 } }]
  const change = await log.submit({ id: 'change-1', baseVersion: log.version, operator: 'mira', operations })
  const weight = Number(findSetting(log.state, { team: 'quays' }, 'share')?.value)
  lines.push(`change: ${change.outcome}, version ${log.version}, share of quays ${weight}`)

  const ledger = new ShareLedger()
  ledger.setWeight('quays', weight)
  const queue = new FairQueue<string>({ maximumEntries: 2, maximumBytes: 1_024, clock, weightedShare: team => ledger.weightedShare(team) })
  const pool = new TargetPool(random)
  pool.addTarget(RUNNER)
  for (const value of ['quote-1', 'quote-2', 'quote-3']) {
    const { accepted } = queue.push({ team: 'quays', kind: 'urgent', urgency: 0, size: ONE_SLOT, tasks: 1, bytes: 64, deadlineAt: 5_000, value })
    lines.push(`${value}: ${accepted ? 'queued' : 'shed'}`)
  }
  const workload = findWorkload('urgent')
  const next = queue.next(({ value, team, size }) => pool.place({ workload, team, size, taskIds: [value] }).outcome === 'placed')
  lines.push(`placed: ${next?.value}, free slots ${pool.free().slots}`)

  const identity = '2f'.repeat(12)
  const claimed = claims.claim([{ identity, holder: 'attempt-1' }, { identity, holder: 'attempt-2' }])
  await clock.advance(STOP_TIMEOUT_MS)
  lines.push(`claims: ${(await claimed).join(', ')}`)

  const targets = new MemoryTargetClient(clock, [new StandInTarget(RUNNER, clock)])
  await targets.fence(RUNNER, 1)
  const result = await targets.start(RUNNER, {
    taskId: 'quote-1',
    team: 'quays',
    requestId: 'quote-1',
    kind: 'urgent',
    name: 'quote',
    size: ONE_SLOT,
    payload: { price: 3 },
    epoch: 1,
    startByWallMs: clock.wallMs() + STOP_TIMEOUT_MS,
    leaseMs: LEASE_MS,
    detached: false
  })
  if (result.outcome === 'started') {
    for await (const bytes of result.answer.body) lines.push(`answer: ${Buffer.from(bytes).toString()}`)
  }
  pool.release('quote-1')
  lines.push(`released: free slots ${pool.free().slots}`)
  log.close()
  await manager.stop()
  return lines
}

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
  process.stdout.write((await runEmbedding()).join('\n') + '\n')
}
