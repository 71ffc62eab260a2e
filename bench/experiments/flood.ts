/** Offers jobs to real processes on the stand-ins of the platform, at rising rates, and measures waiting time and processor time by role. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { encodeHeaders, encodeJob, STAND_IN_KEY, StandInPlatform } from '../../src/platform/standIn/standInPlatform.ts'
import { printTable } from '../table.ts'
import type { TableCell } from '../table.ts'

/** Without relays, and as many as the large deployment has. */
const TARGETS = [33, 378]
const JOBS_PER_SECOND = [40, 90, 150]
const TASKS = 6
const TASK_PROCESSORS = 3_000
const WORK_MS = 900
const SECONDS = 8
const INSTANCES = 3
const FIRST_PORT = 21_400
const PORTS_PER_INSTANCE = 20
const START_UP_MS = 3_000
const SETTLE_MS = 2_500
const STOP_MS = 5_000
const READS = 3
const READ_INTERVAL_MS = 500
const LONGEST_WAIT_MS = 60_000
const MS_PER_SECOND = 1_000
/** Unit of the processor times in /proc/PID/stat. */
const TICKS_PER_SECOND = 100

interface Offered {
  /** By job, the time at which it was to be sent. */
  readonly intendedAtMs: ReadonlyMap<string, number>
  readonly failed: number
}

/** Sends jobs at fixed intervals regardless of the answers, each followed by reads of its state. */
async function offerJobs (rate: number, firstNumber: number): Promise<Offered> {
  const agent = new Agent({ connections: 64 })
  const intendedAtMs = new Map<string, number>()
  const calls: Promise<void>[] = []
  let failed = 0
  const startedAtMs = Date.now()
  for (let number = 0; number < rate * SECONDS; number++) {
    const dueAtMs = startedAtMs + number * MS_PER_SECOND / rate
    await sleep(Math.max(0, dueAtMs - Date.now()))
    const id = (firstNumber + number).toString(16).padStart(16, '0')
    intendedAtMs.set(id, dueAtMs)
    calls.push(callAsCaller(agent, number % INSTANCES, id).catch(() => { failed += 1 }))
  }
  await Promise.all(calls)
  await agent.close()
  return { intendedAtMs, failed }
}

/** Rejects if any of the caller's calls is not answered with 200. */
async function callAsCaller (dispatcher: Agent, instance: number, id: string): Promise<void> {
  const url = `http://127.0.0.1:${FIRST_PORT + instance * PORTS_PER_INSTANCE}/checks/${id}`
  const headers = encodeHeaders(STAND_IN_KEY)
  const call = async (method: 'GET' | 'POST', body?: string): Promise<void> => {
    const { statusCode, body: answer } = await request(url, { method, headers, body, dispatcher })
    await answer.dump()
    if (statusCode !== 200) throw new Error(`${method} ${url} answered ${statusCode}`)
  }
  await call('POST', encodeJob('x'.repeat(200), [{ count: TASKS, processors: TASK_PROCESSORS, estimateMs: WORK_MS }]))
  for (let read = 0; read < READS; read++) {
    await sleep(READ_INTERVAL_MS)
    await call('GET')
  }
}

function startInstances (platform: StandInPlatform): readonly ChildProcess[] {
  const folder = mkdtempSync(join(tmpdir(), 'flood-'))
  return Array.from({ length: INSTANCES }, (_, number) => {
    const file = join(folder, `${number}.toml`)
    writeFileSync(file, platform.settingsFor(`entry-${number}`, FIRST_PORT + number * PORTS_PER_INSTANCE))
    return spawn(process.execPath, ['dist/agategauge.cjs', 'serve', '--platform'], { env: { ...process.env, AGATEGAUGE_CONFIG: file }, stdio: 'ignore' })
  })
}

function readProcessorSeconds ({ pid }: ChildProcess): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND
}

/** Number of the instance that is the coordinator. */
function findCoordinator (platform: StandInPlatform): number {
  const text = platform.store.read('agategauge/coordinator')[0]?.[1]
  if (text === undefined) throw new Error('no coordinator was elected')
  return Number((JSON.parse(text) as { instance: string }).instance.split('-')[1])
}

/** Times from the intended send of each job to the start of its first task, in milliseconds. */
function measureWaits (platform: StandInPlatform, { intendedAtMs }: Offered): Histogram {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: LONGEST_WAIT_MS, numberOfSignificantValueDigits: 3 })
  const started = new Set<string>()
  for (const { type, task, atMs } of platform.events) {
    const job = task.split('.')[0] ?? ''
    const intended = intendedAtMs.get(job)
    if (type !== 'started' || intended === undefined || started.has(job)) continue
    started.add(job)
    histogram.recordValue(Math.min(Math.max(1, Math.round(atMs - intended)), LONGEST_WAIT_MS))
  }
  return histogram
}

async function measureRates (targets: number): Promise<readonly (readonly TableCell[])[]> {
  const platform = await StandInPlatform.start({ workers: targets, queues: [{ name: 'checks', prefix: '/checks/', adviceMs: 5 }], workMs: () => WORK_MS })
  const instances = startInstances(platform)
  const rows: TableCell[][] = []
  try {
    await sleep(START_UP_MS)
    let firstNumber = 1
    for (const rate of JOBS_PER_SECOND) {
      const usedBefore = instances.map(readProcessorSeconds)
      const eventsBefore = platform.events.length
      const offered = await offerJobs(rate, firstNumber)
      firstNumber += rate * SECONDS
      await sleep(SETTLE_MS)
      const used = instances.map((instance, number) => readProcessorSeconds(instance) - (usedBefore[number] ?? 0))
      const coordinator = used[findCoordinator(platform)] ?? 0
      const others = used.reduce((sum, seconds) => sum + seconds, 0) - coordinator
      const starts = platform.events.slice(eventsBefore).filter(({ type }) => type === 'started').length
      const waits = measureWaits(platform, offered)
      rows.push([
        targets, rate, starts, offered.failed, waits.getValueAtPercentile(50), waits.getValueAtPercentile(99), waits.maxValue,
        (coordinator / SECONDS).toFixed(2), (others / SECONDS / (INSTANCES - 1)).toFixed(2), Math.round(coordinator * MS_PER_SECOND * MS_PER_SECOND / starts)
      ])
    }
  } finally {
    for (const instance of instances) instance.kill('SIGTERM')
    await sleep(STOP_MS)
    for (const instance of instances) instance.kill('SIGKILL')
    await platform.stop()
  }
  return rows
}

/** Runs in real time on `dist/agategauge.cjs`; the coordinator takes a third of the calls too. */
export async function runFloodBench (): Promise<void> {
  const rows: (readonly TableCell[])[] = []
  for (const targets of TARGETS) rows.push(...await measureRates(targets))
  printTable(`flood: jobs of ${TASKS} tasks for ${SECONDS} s; waits in ms from the intended send to the first start`,
    ['targets', 'jobs/s', 'starts', 'failed', 'p50', 'p99', 'max', 'coordinator cores', 'other cores', 'coordinator us a start'], rows)
}
