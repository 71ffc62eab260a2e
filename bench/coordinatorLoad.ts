/** Measures the processor time of a coordinator under the normal load of a site: TARGETS=246 TASKS=6 npx tsx bench/coordinatorLoad.ts [JOBS_PER_SECOND] [SECONDS]. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { STAND_IN_HOST, STAND_IN_KEY, StandInPlatform } from '../src/platform/standIn/standInPlatform.ts'

const PORT = 21_400
const TARGETS = Number(process.env['TARGETS'] ?? 33)
const TASKS = Number(process.env['TASKS'] ?? 4)
const WORK_MS = 900
const CPU_MILLIS = 3_000
/** Kernel clock ticks per second, the unit of processor time in /proc/PID/stat. */
const TICKS_PER_SECOND = 100

/** Node.js options to compare. */
const FLAGS = process.env['FLAGS']?.split(' ') ?? []

const jobsPerSecond = Number(process.argv[2] ?? 38)
const seconds = Number(process.argv[3] ?? 20)
const platform = await StandInPlatform.start({ workers: TARGETS, queues: [{ name: 'checks', prefix: '/checks/', adviceMs: 5 }], workMs: () => WORK_MS })
const folder = mkdtempSync(join(tmpdir(), 'coordinator-load-'))
const processes = [0, 1].map(number => {
  const file = join(folder, `${number}.toml`)
  writeFileSync(file, platform.settingsFor(`entry-${number}`, PORT + number * 20))
  const profile = process.env['PROFILE'] === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${process.env['PROFILE']}`]
  return spawn(process.execPath, [...profile, ...FLAGS, 'dist/agategauge.cjs', 'serve', '--platform'], { env: { ...process.env, AGATEGAUGE_CONFIG: file }, stdio: ['ignore', process.env['LOGS'] === undefined ? 'ignore' : 'inherit', 'inherit'] })
})
await delay(2_000)
const agent = new Agent({ connections: 32 })
const ticksBefore = processes.map(child => readCpuTicks(child.pid))
let failed = 0
for (let number = 0; number < jobsPerSecond * seconds; number++) {
  submit(number).catch(() => { failed += 1 })
  await delay(1_000 / jobsPerSecond)
}
await delay(2_000)
for (const [position, child] of processes.entries()) {
  const used = (readCpuTicks(child.pid) - (ticksBefore[position] ?? 0)) / TICKS_PER_SECOND
  console.log(`entry-${position}: ${(used / seconds).toFixed(3)} cores, ${(used * 1_000 / (jobsPerSecond * seconds)).toFixed(2)} ms of processor time per job`)
}
console.log(`${platform.events.filter(event => event.type === 'started').length} task starts, ${failed} failed calls, ${platform.store.calls} store calls`)
for (const child of processes) child.kill('SIGTERM')
await delay(4_500)
await platform.stop()
process.exit(0)

async function submit (number: number): Promise<void> {
  const id = number.toString(16).padStart(16, '0')
  const headers = { host: STAND_IN_HOST, 'x-api-key': STAND_IN_KEY, 'content-type': 'application/json' }
  const url = `http://127.0.0.1:${PORT + (number % 2) * 20}/checks/${id}`
  const body = JSON.stringify({ spec: 'x'.repeat(200), phases: [{ count: TASKS, cpu: CPU_MILLIS, mem_mb: 2_000, estimate_ms: WORK_MS }] })
  const answer = await request(url, { method: 'POST', headers, body, dispatcher: agent })
  if (answer.statusCode !== 200) failed += 1
  await answer.body.dump()
  for (let poll = 0; poll < 3; poll++) {
    await delay(500)
    await (await request(url, { headers, dispatcher: agent })).body.dump()
  }
}

function readCpuTicks (pid = 0): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return Number(fields[11]) + Number(fields[12])
}
