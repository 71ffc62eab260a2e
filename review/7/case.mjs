/* eslint camelcase: ["error", { properties: "never" }] */
// A tenant hands in a schedule, every 10 s for a day, of one small task each. It starts a day ago, so that all its occurrences are due. Another
// tenant sends small urgent submissions. Without the disruption the schedule starts now.
import { runCase, sleep, TROUBLE } from '../lib-2/deployment.mjs'

const OCCURRENCES = 8_640
const INTERVAL_MS = 10_000
const FINISH_MS = 14_000
const tenants = [
  { name: 'shops', api_keys: ['key-shops'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } },
  { name: 'counter', api_keys: ['key-counter'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }
]
const small = { spec: '{"ms":800}', phases: [{ count: 2, cpu: 2_800, mem_mb: 64, estimate_ms: 800 }] }
const pathOf = number => `/check/${number.toString(16).padStart(16, '0')}`

async function play (deployment) {
  await deployment.start({ instances: 3, runners: ['1', '2', '3', '4'].map(name => ({ name })), tenants })
  const schedule = {
    spec: '{"ms":300}',
    repeat_count: OCCURRENCES,
    start_at_ms: Date.now() - (TROUBLE ? OCCURRENCES * INTERVAL_MS : 0),
    interval_ms: INTERVAL_MS,
    phases: [{ count: 1, cpu: 10, mem_mb: 4, estimate_ms: 300 }]
  }
  if (!await deployment.submit('/restock/00000000000000f1', 'key-shops', schedule)) throw new Error('the schedule was not accepted')
  await sleep(1_000)
  const accepted = []
  for (let number = 1; number <= 6; number++) {
    if (await deployment.submit(pathOf(number), 'key-counter', small)) accepted.push(pathOf(number))
  }
  await sleep(FINISH_MS)
  const states = []
  for (const path of accepted) {
    const { status, text } = await deployment.send(deployment.instances[1], { method: 'GET', path, key: 'key-counter' })
    states.push(status === 200 ? JSON.parse(text).state : status)
  }
  const lastMs = Date.now() - Math.max(...deployment.events.map(({ at }) => at))
  const stuck = states.filter(state => state !== 'completed').length
  deployment.note(`${accepted.length} of 6 small submissions were accepted and are shown as ${states}; ${deployment.elections} elections; the last start or end at a runner was ${lastMs} ms ago`)
  return stuck > 0 && lastMs > 3_000 ? `LOST: ${stuck} accepted submissions have nothing running on empty runners` : undefined
}

await runCase(import.meta.dirname, play)
