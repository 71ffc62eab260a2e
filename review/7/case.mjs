/* eslint camelcase: ["error", { properties: "never" }] */
// An instance freezes for 3.5 s, not the one that coordinates. A client submits there, leaves, and cancels the submission at another instance.
import { runCase, sleep, TROUBLE } from '../lib-2/deployment.mjs'

const FREEZE_MS = 3_500
const LEAVE_MS = 150
const CANCEL_MS = 3_000
const WORK_MS = 10_000
const tenants = [{ name: 'shops', api_keys: ['key-shops'], weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }]
const path = '/restock/00000000000000d1'
const list = { spec: JSON.stringify({ ms: WORK_MS }), phases: [{ count: 2, cpu: 2_000, mem_mb: 64, estimate_ms: WORK_MS }] }

async function play (deployment) {
  await deployment.start({ instances: 3, runners: ['1', '2', '3', '4'].map(name => ({ name })), tenants })
  const [entry, other] = deployment.instances.filter(instance => instance !== deployment.coordinator)
  const frozenAtMs = Date.now()
  if (TROUBLE) {
    deployment.note(`SIGSTOP to ${entry.name}`)
    entry.child.kill('SIGSTOP')
  }
  const leaving = new AbortController()
  const submitted = deployment.send(entry, { method: 'POST', path, key: 'key-shops', body: list, signal: leaving.signal })
  await sleep(LEAVE_MS)
  leaving.abort()
  await submitted
  const { status } = await deployment.send(other, { method: 'DELETE', path, key: 'key-shops' })
  if (status !== 200 && status !== 410) throw new Error('the cancel was not acknowledged')
  const acknowledgedAtMs = Date.now()
  await sleep(frozenAtMs + FREEZE_MS - Date.now())
  if (TROUBLE) {
    deployment.note(`SIGCONT to ${entry.name}`)
    entry.child.kill('SIGCONT')
  }
  await sleep(WORK_MS + 1_000)
  const starts = deployment.events.filter(({ event }) => event === 'started').map(({ at }) => at - acknowledgedAtMs)
  const ends = deployment.events.filter(({ event, how }) => event === 'ended' && how === 'done').map(({ at }) => at - acknowledgedAtMs)
  deployment.note(`the cancel was answered ${status}; tasks started ${JSON.stringify(starts)} ms and ended done ${JSON.stringify(ends)} ms after that`)
  return starts.some(ms => ms > CANCEL_MS) ? 'UNASKED: tasks of a submission start after its cancelling was acknowledged' : undefined
}

await runCase(import.meta.dirname, play)
