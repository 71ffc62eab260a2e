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
const CAPACITY = 64_000
/** For so long nothing of the submission may run, by the rule. */
const LEFT_MS = 3_000
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
    const cpuOf = new Map()
    deployment.onRun(({ type, task, atMs, runner }) => { if (type === 'started') begun.set(task.split('.')[0], { atMs, runner }) })
    const submit = async (id, step) => {
      cpuOf.set(id, step.cpu)
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
    const endMs = deployment.nowMs
    const used = ({ running }) => running.reduce((sum, { task }) => sum + cpuOf.get(task.split('.')[0]), 0)
    /** Whether nothing of the submission runs, with capacity for it twice over and under half of the service in use. */
    const isLeft = () => {
      const up = deployment.runners.filter(runner => runner.up)
      const places = up.filter(({ labels }) => labels[0] === LABEL).reduce((sum, runner) => sum + Math.floor((CAPACITY - used(runner)) / CPU), 0)
      const runs = up.some(({ running }) => running.some(({ task }) => task.startsWith(id)))
      return !runs && places >= 2 && up.reduce((sum, runner) => sum + used(runner), 0) < RUNNERS * CAPACITY / 2
    }
    let leftSinceMs
    let state
    while (deployment.nowMs < endMs + WAIT_MS) {
      const { body } = await deployment.call(deployment.instances[0], 'GET', `/renders/${id}`, { key: KEY })
      state = body?.state
      if (state === 'completed') return []
      // Asked for from `finish_s` after the end of the traffic on.
      for (let look = 0; look < 10; look++) {
        const nowMs = deployment.nowMs
        leftSinceMs = nowMs > endMs + BOUNDS.finishMs && isLeft() ? leftSinceMs ?? nowMs : undefined
        await sleep(50)
      }
    }
    describe()
    const leftMs = leftSinceMs === undefined ? 0 : Math.round(deployment.nowMs - leftSinceMs)
    if (leftMs < LEFT_MS) return []
    return [`${WAIT_MS} ms after the crash the submission is ${state}; for ${leftMs} ms nothing of it ran, with room for it twice over and under half of the service in use; ${begun.get(id) !== first ? 'it was started again' : 'it was not started again'}`]
  }
})
