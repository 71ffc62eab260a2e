/* eslint camelcase: ["error", { properties: "never" }] */
// A gang with a member on each of sixteen runners is at work when one of them crashes. While that is down, a usual submission starts on the others; soon
// after it is back, another runner is emptied and taken away. Another tenant goes on sending small urgent submissions. All sizes are those of the site's classes.
import { runCase, sleep, TROUBLE } from '../lib-2/deployment.mjs'

const RUNNERS = 16
const RUNNER_CPU = 32_000
const DOWN_MS = 4_500
const FINISH_MS = 14_000
const WINDOW_MS = 3_000
const tenants = [
  { name: 'dealers', api_keys: ['key-dealers'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } },
  { name: 'shops', api_keys: ['key-shops'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } },
  { name: 'counter', api_keys: ['key-counter'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }
]
const gang = { spec: JSON.stringify({ ms: 4_000, gang: RUNNERS }), phases: [{ count: RUNNERS, cpu: 9_000, mem_mb: 64, estimate_ms: 4_000, gang: true, anti_affinity: 1 }] }
const usual = { spec: '{"ms":5000}', phases: [{ count: RUNNERS - 1, cpu: 2_000, mem_mb: 64, estimate_ms: 5_000, anti_affinity: 1 }] }
const small = { spec: '{"ms":800}', phases: [{ count: 2, cpu: 2_800, mem_mb: 64, estimate_ms: 800 }] }
const pathOf = number => `/check/${number.toString(16).padStart(16, '0')}`

/** Tasks that run on runners that are up. */
function running (events) {
  const open = new Map()
  for (const { event, task, runner } of events) {
    if (event === 'started') open.set(`${task} ${runner}`, runner)
    if (event === 'ended') open.delete(`${task} ${runner}`)
    if (event === 'crashed') for (const [key, at] of open) if (at === runner) open.delete(key)
  }
  return open.size
}

async function play (deployment) {
  const runners = Array.from({ length: RUNNERS }, (_, position) => ({ name: String(position + 1), labels: ['a', `r${position}`], cpu: RUNNER_CPU }))
  await deployment.start({ instances: 3, runners, tenants })
  if (!await deployment.submit('/plan/00000000000000a1', 'key-dealers', gang)) throw new Error('the gang was not accepted')
  await sleep(1_500)
  if (deployment.events.filter(({ event }) => event === 'started').length !== RUNNERS) throw new Error('the gang has not begun')
  const crashed = TROUBLE ? deployment.crashRunner('1', DOWN_MS) : undefined
  await sleep(3_500)
  if (!await deployment.submit('/restock/00000000000000b1', 'key-shops', usual)) throw new Error('the usual submission was not accepted')
  await crashed
  await sleep(1_500)
  const removed = TROUBLE ? deployment.removeRunner('2', 3_500) : undefined
  const accepted = []
  for (let number = 1; number <= 4; number++) {
    await sleep(1_000)
    if (await deployment.submit(pathOf(number), 'key-counter', small)) accepted.push(pathOf(number))
  }
  await removed
  await sleep(FINISH_MS)
  const runningBefore = running(deployment.events)
  const seen = deployment.events.length
  await sleep(WINDOW_MS + 500)
  const isIdle = runningBefore === 0 && deployment.events.length === seen
  const answers = await Promise.all(accepted.map(async path => await deployment.send(deployment.instances[1], { method: 'GET', path, key: 'key-counter' })))
  const states = answers.map(({ status, text }) => status === 200 ? JSON.parse(text).state : status)
  const stuck = states.filter(state => state === 'queued' || state === 'active').length
  deployment.note(`${accepted.length} small submissions were accepted and are shown as ${states}; ${isIdle ? 'nothing' : 'something'} ran on any runner for ${WINDOW_MS} ms`)
  return stuck > 0 && isIdle ? `LOST: ${stuck} accepted submissions have nothing running while all runners are empty` : undefined
}

await runCase(import.meta.dirname, play)
