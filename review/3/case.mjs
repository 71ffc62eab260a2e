/** One runner crashes under a submission; on the runners with its label that are up, lasting tasks leave room on some only. */
import { BOUNDS, newId, runCase, sleep, submission } from '../lib/harness.mjs'

const KEY = 'key-of-weavers'
const RUNNERS = 8
/** The first four runners have the label that the submissions need. */
const LABELLED = 4
const LABEL = 'a'
/** Of 64 cores: leaves too little for the submission. */
const LARGE_CPU = 50_000
/** Does not fit beside a large one. */
const SMALL_CPU = 15_000
const CPU = 30_000
const WORK_MS = 8_000
const DOWN_MS = 4_500
/** Lasting tasks have been at work for this long before the crash. */
const SETTLE_MS = 12_000
const WAIT_MS = DOWN_MS + BOUNDS.finishMs + 10_000

await runCase({
  folder: import.meta.dirname,
  options: {
    runners: RUNNERS,
    labels: number => [number <= LABELLED ? LABEL : 'b', `r-${number}`],
    queues: [{ name: 'renders', prefix: '/renders/', maxAttempts: 3 }],
    tenants: [{ name: 'weavers', key: KEY }]
  },
  async play (deployment, trouble) {
    const begun = new Map()
    deployment.onRun(({ type, task, atMs, runner }) => { if (type === 'started') begun.set(task.split('.')[0], { atMs, runner }) })
    const submit = async (id, step) => {
      const ok = await deployment.submit(`/renders/${id}`, { key: KEY, body: submission({ label: LABEL, ...step }) })
      if (!ok) throw new Error('a submission was not accepted')
      while (!begun.has(id)) await sleep(20)
      await sleep(200)
    }
    // Two of the labelled runners get a large lasting task each, the two others two small ones each.
    for (let number = 0; number < 2; number++) await submit(newId(), { ms: 3_600_000, cpu: LARGE_CPU, lasting: true })
    await submit(newId(), { ms: 3_600_000, count: 4, cpu: SMALL_CPU, lasting: true, perRunner: 2 })
    const describe = () => deployment.record(`runners: ${deployment.runners.map(({ id, running }) => `${id} ${running.length}`).join(', ')}`)
    describe()
    await sleep(SETTLE_MS)
    const id = newId()
    await submit(id, { ms: WORK_MS, cpu: CPU })
    const first = begun.get(id)
    if (trouble) {
      await sleep(2_000)
      deployment.crash(deployment.runners.find(runner => runner.id === first.runner), DOWN_MS)
    }
    const untilMs = deployment.nowMs + WAIT_MS
    let state
    while (deployment.nowMs < untilMs) {
      const { body } = await deployment.call(deployment.instances[0], 'GET', `/renders/${id}`, { key: KEY })
      state = body?.state
      if (state === 'completed') return []
      await sleep(500)
    }
    describe()
    const again = begun.get(id) !== first
    return [`${WAIT_MS} ms after the crash the submission is ${state}; ${again ? 'it was started again' : 'it was not started again'}`]
  }
})
