import { randomUUID } from 'node:crypto'
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'
import { encodeHeaders, encodeJob, STAND_IN_HOST, STAND_IN_KEY, StandInPlatform } from '../../src/platform/standIn/standInPlatform.ts'
import { ManagedProcess } from './childProcess.ts'
import { CallerClient } from './callerClient.ts'
import { chunkedHead, chunks, encodeLines, startOverload } from './overloadClients.ts'
import type { OverloadClients } from './overloadClients.ts'
import { PROGRAM } from './testTeam.ts'
import { chooseHost } from './topology.ts'
import { waitUntil } from './waitUntil.ts'

interface Bounds {
  /** Between the memory of the smallest instances, 160 MB, and that of the usual ones, 250 MB. */
  readonly residentMb: number
  /** Lowers the memory of the process, so that few clients show the fault. */
  readonly heapMb: number
}

/** The stand-ins of the store and the targets run in this process, too. */
const EMBEDDED_BOUNDS: Bounds = { residentMb: 250, heapMb: 100 }
const PLATFORM_BOUNDS: Bounds = { residentMb: 200, heapMb: 64 }
const PLATFORM_LIMITS = '\n[limits]\nmemory_mb = 160\nmax_fds = 4100\n'
/** Of 4,100 that the smallest instance may open. */
const MAX_DESCRIPTORS = 1_500
const PORT = 23_970
/** Long enough that a busy machine does not fail a test. */
const ANSWER_TIMEOUT_MS = 90_000

const SAMPLE_INTERVAL_MS = 200

type Load = Pick<OverloadClients, 'connections' | 'part' | 'repetitions' | 'unread'> & { readonly head: string }

const QUEUE_PATH = '/checks/'
/** Of a job that was never submitted. */
const JOB_PATH = `${QUEUE_PATH}00000000000fffff`
const READINESS_PATH = '/-/readyz'
const UNKNOWN_PATH = '/no/such/path'
const HEADERS = encodeHeaders(STAND_IN_KEY)

function openBodies (path: string, connections: number, part: Buffer, repetitions: number): Load {
  return { connections, head: chunkedHead('POST', path, HEADERS), part, repetitions, unread: false }
}

function pipelinedRequests (method: string, path: string, headers: string, connections = 100): Load {
  return { connections, head: '', part: Buffer.from(`${method} ${path} HTTP/1.1\r\n${headers}\r\n`.repeat(200)), repetitions: 100, unread: true }
}

const LOADS: Readonly<Record<string, (path: string) => Load>> = {
  'bodies in chunks of one byte that stay open': path => openBodies(path, 150, chunks(1, 10_000), 6),
  'bodies in large chunks that stay open': path => openBodies(path, 1_000, chunks(62_500, 1), 4),
  'pipelined requests whose answers are not read': path => pipelinedRequests('POST', path, `host: ${STAND_IN_HOST}\r\ncontent-length: 0\r\n`),
  'pipelined requests without headers': path => pipelinedRequests('POST', path, ''),
  'pipelined requests to an unknown path': () => pipelinedRequests('GET', UNKNOWN_PATH, `host: ${STAND_IN_HOST}\r\n`),
  'bodies in chunks of one byte at an unknown path': () => openBodies(UNKNOWN_PATH, 150, chunks(1, 10_000), 6)
}

const HOST_LINE = `host: ${STAND_IN_HOST}\r\n`
const KEY_LINES = encodeLines(HEADERS)

/** Loads on the front end of the platform, by what the clients ask for. */
const CALL_LOADS: Readonly<Record<string, Load>> = {
  'pipelined reads of a job with a valid key': pipelinedRequests('GET', JOB_PATH, KEY_LINES, 300),
  'pipelined cancels of a job with a valid key': pipelinedRequests('DELETE', JOB_PATH, KEY_LINES),
  'pipelined listings of a queue with a valid key': pipelinedRequests('GET', QUEUE_PATH, KEY_LINES),
  'pipelined reads of a job without a key': pipelinedRequests('GET', JOB_PATH, HOST_LINE, 300)
}

/** Loads on the path by which the load balancer asks whether the instance is ready. */
const READINESS_LOADS: Readonly<Record<string, Load>> = {
  'pipelined probes': pipelinedRequests('GET', READINESS_PATH, HOST_LINE),
  'pipelined probes without headers': pipelinedRequests('GET', READINESS_PATH, ''),
  'probes with bodies in large chunks that stay open': { ...openBodies(READINESS_PATH, 600, chunks(62_500, 1), 4), head: chunkedHead('GET', READINESS_PATH, { host: STAND_IN_HOST }) },
  'probes with bodies in chunks of one byte that stay open': { ...openBodies(READINESS_PATH, 150, chunks(1, 10_000), 6), head: chunkedHead('GET', READINESS_PATH, { host: STAND_IN_HOST }) }
}

interface Frontend {
  readonly bounds: Bounds
  readonly process: ManagedProcess
  readonly address: string
  /** Path of requests that a route has. */
  readonly path: string
  /** Sends one request and returns the status of its answer, or why there is none. */
  call (signal?: AbortSignal): Promise<number | string>
}

interface PlatformFrontend extends Frontend {
  readonly readinessAddress: string
}

type Outcome = Awaited<ReturnType<typeof applyOverload>>

async function startEmbedded (t: ExecutionContext): Promise<Frontend> {
  const process = new ManagedProcess('embedded', [...PROGRAM, 'serve', '--embedded'], { environment: limitHeap(EMBEDDED_BOUNDS) })
  const client = new CallerClient()
  t.teardown(async () => {
    await client.close()
    await process.kill()
  })
  const { callers: address } = JSON.parse(await process.waitForLine(line => line.startsWith('{"callers"'))) as { readonly callers: string }
  const call: Frontend['call'] = async signal => {
    const { status, error } = await client.run(address, undefined, { id: randomUUID(), queue: 'demo' }, signal)
    return status ?? String(error)
  }
  return { bounds: EMBEDDED_BOUNDS, process, address, path: '/v1/requests', call }
}

async function startOnPlatform (t: ExecutionContext): Promise<PlatformFrontend> {
  const platform = await StandInPlatform.start({ workers: 3, queues: [{ name: 'checks', prefix: '/checks/' }] })
  const directory = await mkdtemp(join(tmpdir(), 'overload-'))
  const file = join(directory, 'local.toml')
  const host = chooseHost()
  await writeFile(file, platform.settingsFor('entry-1', PORT, undefined, host) + PLATFORM_LIMITS)
  const process = new ManagedProcess('entry-1', [...PROGRAM, 'serve', '--platform'], { environment: { ...limitHeap(PLATFORM_BOUNDS), AGATEGAUGE_CONFIG: file } })
  t.teardown(async () => {
    await process.kill()
    await platform.stop()
    await rm(directory, { recursive: true })
  })
  let jobs = 0
  const address = `${host}:${PORT}`
  return {
    bounds: PLATFORM_BOUNDS,
    process,
    address,
    readinessAddress: `${host}:${PORT + 1}`,
    path: JOB_PATH,
    async call (signal) {
      const answer = await request(`http://${address}${QUEUE_PATH}${String(++jobs).padStart(16, '0')}`, {
        method: 'POST', signal, headers: encodeHeaders(STAND_IN_KEY), body: encodeJob('x', [{ count: 1, processors: 100, estimateMs: 50 }])
      })
      await answer.body.dump()
      return answer.statusCode
    }
  }
}

/** Applies the load, sends one ordinary request, and checks what does not depend on the speed of the machine. */
async function checkOverload (t: ExecutionContext, frontend: Frontend, load: Load): Promise<void> {
  checkOutcome(t, frontend, await applyOverload(frontend, { ...load, address: frontend.address }))
}

/** Checks in addition that one probe of the readiness path is answered 200. */
async function checkPlatformOverload (t: ExecutionContext, frontend: PlatformFrontend, clients: OverloadClients): Promise<void> {
  const { readinessAddress } = frontend
  const outcome = await applyOverload(frontend, clients, async () => await probe(readinessAddress))
  checkOutcome(t, frontend, outcome)
  t.is(outcome.probed, 200)
}

async function applyOverload ({ process, call }: Frontend, clients: OverloadClients, probeReadiness?: () => Promise<number | string>) {
  await waitUntil('the process serves', async () => await call() === 200)
  await resetPeakResident(process.pid)
  let descriptors = 0
  const sample = async (): Promise<void> => { descriptors = Math.max(descriptors, await countDescriptors(process.pid)) }
  const timer = setInterval(() => { sample().catch(() => {}) }, SAMPLE_INTERVAL_MS)
  const overload = await startOverload(clients)
  clearInterval(timer)
  await sample()
  const status = await call(AbortSignal.timeout(ANSWER_TIMEOUT_MS)).catch((error: unknown) => String(error))
  const probed = await probeReadiness?.()
  const residentMb = await readPeakResidentMb(process.pid)
  overload.close()
  return { status, probed, residentMb, descriptors, ended: process.hasEnded }
}

function checkOutcome (t: ExecutionContext, { process, bounds }: Frontend, outcome: Outcome): void {
  const { status, residentMb, descriptors, ended } = outcome
  t.log(outcome)
  t.false(ended, process.lines.slice(-10).join('\n'))
  t.is(status, 200)
  t.true(residentMb > 0 && residentMb <= bounds.residentMb, `${residentMb} MB resident`)
  t.true(descriptors <= MAX_DESCRIPTORS, `${descriptors} descriptors`)
}

/** Returns the status of a probe of the readiness path, or why there is none. */
async function probe (address: string): Promise<number | string> {
  try {
    const answer = await request(`http://${address}${READINESS_PATH}`, { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })
    await answer.body.dump()
    return answer.statusCode
  } catch (error) {
    return String(error)
  }
}

/** 0 if the process has ended. */
async function countDescriptors (pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`).catch(() => [])).length
}

function limitHeap ({ heapMb }: Bounds): Readonly<Record<string, string>> {
  return { NODE_OPTIONS: `--max-old-space-size=${heapMb}` }
}

/** The start of the binary takes more memory for a moment than the process afterwards. */
async function resetPeakResident (pid: number): Promise<void> {
  await writeFile(`/proc/${pid}/clear_refs`, '5')
}

/** Peak of the resident set; 0 if the process has ended. */
async function readPeakResidentMb (pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '')
  return Math.round(Number(/^VmHWM:\s+(\d+) kB/m.exec(text)?.[1] ?? 0) / 1_024)
}

// Guards against a process that runs out of memory, or answers nobody, because of clients that it can not control.
for (const [name, createLoad] of Object.entries(LOADS)) {
  test.serial(`an embedded instance lives and serves others under ${name}`, async t => {
    const frontend = await startEmbedded(t)
    await checkOverload(t, frontend, createLoad(frontend.path))
  })

  test.serial(`an instance on the platform lives and serves others under ${name}`, async t => {
    const frontend = await startOnPlatform(t)
    await checkOverload(t, frontend, createLoad(frontend.path))
  })
}

// Guards against calls in progress that exhaust the memory, the descriptors or the connections to the store.
for (const [name, load] of Object.entries(CALL_LOADS)) {
  test.serial(`an instance on the platform lives and serves others under ${name}`, async t => {
    const frontend = await startOnPlatform(t)
    await checkPlatformOverload(t, frontend, { ...load, address: frontend.address })
  })
}

// Guards against an instance that the load balancer takes out of use because of clients of the readiness path.
for (const [name, load] of Object.entries(READINESS_LOADS)) {
  test.serial(`an instance on the platform lives and answers the load balancer under ${name}`, async t => {
    const frontend = await startOnPlatform(t)
    await checkPlatformOverload(t, frontend, { ...load, address: frontend.readinessAddress })
  })
}
