/** More than 500 runs end on one runner while the platform's store is down. */
import { newId, runCase, sleep, submission } from '../lib/harness.mjs'

const KEY = 'key-of-weavers'
const WORK_MS = 5_000
/** Ten submissions of 60 tasks, each on a tenth of a core: all fit on one runner of 64 cores. */
const SUBMISSIONS = 10
const TASKS = 60
const DOWN_MS = 4_000

await runCase({
  folder: import.meta.dirname,
  options: {
    runners: 3,
    queues: [{ name: 'batches', prefix: '/batches/', maxAttempts: 3 }],
    tenants: [{ name: 'weavers', key: KEY }]
  },
  async play (deployment, trouble) {
    /** Times at which the lease of a runner lapsed. */
    const lapses = []
    /** By task: the runs that began, and the times at which runs ended `done`. */
    const tasks = new Map()
    deployment.onRun(({ type, task, attempt, how, runner, atMs }) => {
      if (type === 'lease lapsed') return lapses.push({ runner, atMs })
      const seen = tasks.get(task) ?? { starts: [], done: [], acked: new Map() }
      tasks.set(task, seen)
      if (type === 'started') seen.starts.push({ attempt, runner, atMs })
      if (type === 'ended' && how === 'done') seen.done.push({ attempt, runner, atMs })
      if (type === 'acked' && how === 'done') seen.acked.set(attempt, atMs)
    })
    const paths = Array.from({ length: SUBMISSIONS }, () => `/batches/${newId()}`)
    const body = submission({ ms: WORK_MS, count: TASKS, cpu: 100, memory: 64 })
    const accepted = await Promise.all(paths.map(path => deployment.submit(path, { key: KEY, body })))
    if (!accepted.every(Boolean)) throw new Error('a submission was not accepted')
    const running = () => deployment.runners.reduce((sum, runner) => sum + runner.running.length, 0)
    while (tasks.size < SUBMISSIONS * TASKS) await sleep(20)
    deployment.record(`${running()} tasks run: ${deployment.runners.map(runner => `${runner.id} ${runner.running.length}`).join(', ')}`)
    const firstStartMs = Math.min(...[...tasks.values()].map(({ starts }) => starts[0].atMs))
    await sleep(Math.max(0, firstStartMs + WORK_MS - 500 - deployment.nowMs))
    if (trouble) {
      deployment.record('store: down')
      deployment.store.goDown()
    }
    await sleep(DOWN_MS)
    deployment.record('store: up')
    deployment.store.comeBack()
    await awaitCompleted(deployment, paths)
    await sleep(2_000)
    // An end is taken note of when `acked` reaches it, unless the runner's lease lapsed between the two.
    const isNoted = (end, acked) => acked.has(end.attempt) && !lapses.some(({ runner, atMs }) => runner === end.runner && atMs >= end.atMs && atMs <= acked.get(end.attempt))
    const twice = [...tasks].filter(([, { starts, done, acked }]) => done.some(end => isNoted(end, acked) && starts.some(start => start.atMs > end.atMs)))
    const [task, seen] = twice[0] ?? []
    if (twice.length === 0) return []
    return [`${twice.length} of ${tasks.size} tasks were started after a run had ended done, which was taken note of; first ${task}: ${JSON.stringify(seen.starts)}, done ${JSON.stringify(seen.done)}`]
  }
})

async function awaitCompleted (deployment, paths) {
  const untilMs = deployment.nowMs + 40_000
  const open = new Set(paths)
  while (open.size > 0 && deployment.nowMs < untilMs) {
    for (const path of open) {
      const { body } = await deployment.call(deployment.instances[0], 'GET', path, { key: KEY })
      if (body?.state === 'completed') open.delete(path)
    }
    await sleep(500)
  }
}
