/* eslint camelcase: ["error", { properties: "never" }] */
// Sixteen runners have work for 30 s each, which takes a sixteenth of them. A gang with a member on each is at work when one of the runners
// crashes; it is back soon. Some seconds later another runner is emptied and taken away. Another tenant goes on sending small urgent submissions.
import { runCase, sleep, TROUBLE } from '../lib-2/deployment.mjs'

const RUNNERS = 16
const LONG_MS = 30_000
const DOWN_MS = 4_500
const FINISH_MS = 14_000
const tenants = [
  { name: 'dealers', api_keys: ['key-dealers'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } },
  { name: 'shops', api_keys: ['key-shops'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } },
  { name: 'counter', api_keys: ['key-counter'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }
]
const long = { spec: JSON.stringify({ ms: LONG_MS }), phases: [{ count: RUNNERS, cpu: 2_000, mem_mb: 64, estimate_ms: LONG_MS, anti_affinity: 1 }] }
const gang = { spec: JSON.stringify({ ms: 4_000, gang: RUNNERS }), phases: [{ count: RUNNERS, cpu: 9_000, mem_mb: 64, estimate_ms: 4_000, gang: true, anti_affinity: 1 }] }
const small = { spec: '{"ms":800}', phases: [{ count: 2, cpu: 2_800, mem_mb: 64, estimate_ms: 800 }] }
const pathOf = number => `/check/${number.toString(16).padStart(16, '0')}`

async function play (deployment) {
  const runners = Array.from({ length: RUNNERS }, (_, position) => ({ name: String(position + 1), labels: ['a', `r${position}`] }))
  await deployment.start({ instances: 3, runners, tenants })
  if (!await deployment.submit('/restock/00000000000000b1', 'key-shops', long)) throw new Error('the long submission was not accepted')
  await sleep(1_000)
  if (!await deployment.submit('/plan/00000000000000a1', 'key-dealers', gang)) throw new Error('the gang was not accepted')
  await sleep(1_500)
  const starts = deployment.events.filter(({ event, task }) => event === 'started' && task.startsWith('00000000000000a1'))
  if (starts.length !== RUNNERS) throw new Error('the gang has not begun')
  const crashed = TROUBLE ? deployment.crashRunner('1', DOWN_MS) : undefined
  await crashed
  await sleep(2_000)
  if (TROUBLE) await deployment.removeRunner('2', 3_500)
  const accepted = []
  for (let number = 1; number <= 4; number++) {
    if (await deployment.submit(pathOf(number), 'key-counter', small)) accepted.push(pathOf(number))
    await sleep(500)
  }
  await sleep(TROUBLE ? LONG_MS + 10_000 : FINISH_MS)
  const answers = await Promise.all(accepted.map(async path => await deployment.send(deployment.instances[1], { method: 'GET', path, key: 'key-counter' })))
  const states = answers.map(({ status, text }) => status === 200 ? JSON.parse(text).state : status)
  const begun = new Set(deployment.events.filter(({ event, task }) => event === 'started' && accepted.some(path => path.endsWith(task.split('.')[0]))).map(({ task }) => task))
  deployment.note(`${accepted.length} small submissions were accepted and are shown as ${states}; ${begun.size} of their tasks have begun`)
  const stuck = states.filter(state => state !== 'completed').length
  return stuck > 0 ? `LOST: ${stuck} accepted submissions have nothing running on sound runners with room` : undefined
}

await runCase(import.meta.dirname, play)
