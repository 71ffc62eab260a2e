/** Measures the processor time of lease renewals over HTTP, with one call per task. */
import { SystemClock } from '../../src/adapters/clock/systemClock.ts'
import { HttpTargetClient } from '../../src/adapters/target/httpTargetClient.ts'
import { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import { StandInTargetServer } from '../../src/adapters/target/standInTargetServer.ts'
import { TARGET_SIZE_INSTANCES, TARGET_SIZE_TASKS, createTargets, KLADOSEIRA } from '../deployments.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

const TARGETS = 20
const ROUNDS = 150
const WARM_UP_ROUNDS = 20
const FIRST_PORT = 21_800
const LEASE_MS = 15_000
const RENEWALS_PER_LEASE = 3
const TASKS_PER_TARGET = [1, 4, 16]

interface Setup {
  readonly targets: readonly StandInTarget[]
  readonly client: HttpTargetClient
}

function startTasks (target: StandInTarget, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => {
    const taskId = `${target.info.id}-${index}`
    target.start({
      taskId,
      team: 'renders',
      requestId: taskId,
      kind: 'service',
      name: 'default',
      size: { slots: 0, processors: 1_000, memory: 1_024, accelerators: 0 },
      payload: { runMs: 3_600_000 },
      epoch: 1,
      startByWallMs: Date.now() + LEASE_MS,
      leaseMs: 3_600_000,
      detached: true
    })
    return taskId
  })
}

/** Returns the processor time per call in microseconds, client and server included. */
async function measure ({ targets, client }: Setup, renew: (client: HttpTargetClient, target: StandInTarget) => Promise<number>): Promise<number> {
  let calls = 0
  let before = process.cpuUsage()
  for (let round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
    if (round === 0) {
      calls = 0
      before = process.cpuUsage()
    }
    const counts = await Promise.all(targets.map(target => renew(client, target)))
    calls += counts.reduce((sum, count) => sum + count, 0)
  }
  const { user, system } = process.cpuUsage(before)
  return (user + system) / calls
}

function describe (method: string, tasks: number, microseconds: number, callsPerSecond: number): readonly TableCell[] {
  const perInstance = callsPerSecond / TARGET_SIZE_INSTANCES
  return [method, tasks, microseconds.toFixed(0), callsPerSecond.toFixed(0), perInstance.toFixed(1), (perInstance * microseconds / 1e4).toFixed(2)]
}

/** Runs in real time with HTTP on loopback. The target servers run in the same process and are included. */
export async function runRenewalsBench (): Promise<void> {
  const rows: (readonly TableCell[])[] = []
  const clock = new SystemClock()
  const rounds = 1_000 / (LEASE_MS / RENEWALS_PER_LEASE)
  for (const count of TASKS_PER_TARGET) {
    const targets = createTargets({ ...KLADOSEIRA, runners: 0, workers: TARGETS })
      .map((info, index) => new StandInTarget({ ...info, address: `127.0.0.1:${FIRST_PORT + index}` }, clock))
    const server = new StandInTargetServer(targets)
    await server.start()
    const client = new HttpTargetClient({})
    const tasks = new Map(targets.map(target => [target.info.id, startTasks(target, count)]))
    const setup = { targets, client }
    const single = await measure(setup, async (caller, target) => {
      const taskIds = tasks.get(target.info.id)!
      await Promise.all(taskIds.map(taskId => caller.renew(target.info, taskId, 1, LEASE_MS)))
      return taskIds.length
    })
    rows.push(describe('one call per task', count, single, TARGET_SIZE_TASKS * rounds))
    await client.close()
    await server.stop()
  }
  printTable(`renewals of ${TARGET_SIZE_TASKS} tasks, lease ${LEASE_MS / 1_000} s, ${TARGET_SIZE_INSTANCES} instances; client and server in one process`,
    ['method', 'tasks per target', 'us per call', 'calls/s', 'calls/s per instance', 'core % per instance'], rows)
}
