/**
 * Compares rules for tasks whose data is on a busy rack: no wait, a fixed delay, and `LocalityWait`. One service of ten racks
 * with sixteen places each; run times are off by half, three in a hundred take seven times as long.
 *
 * Usage: npx tsx bench/experiments/localityWait.ts
 */
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import type { StepProgress } from '../../src/jobs/stepProgress.ts'
import { JobProgress } from '../../src/jobs/jobProgress.ts'
import { createJobRecord, createStep, TEST_QUEUE } from '../../src/jobs/testing/definitions.ts'
import { LocalityWait } from '../../src/coordinator/placement/localityWait.ts'
import { resources } from '../../src/model/resources.ts'
import type { TargetSession } from '../../src/coordinator/targets/targetSession.ts'

const RACKS = 10
const PLACES = 16
const PASS_MS = 25
const DURATION_MS = 60_000
const EXPECTED_MS = 800
const TAIL_SHARE = 0.03
const TAIL_FACTOR = 7
/** Part of the tasks whose data is on the first two racks. */
const SKEW = 0.45
/** Parts of the tasks without data; they go to the fullest rack with a place, as in best fit. */
const ANYWHERE_SHARES = [0.5, 0]
const SEEDS = [1, 2]
/** The objective of a task: three times its expected run time. */
const OBJECTIVE_MS = 3 * EXPECTED_MS

interface Task { readonly step: StepProgress, /** -1 without data. */ readonly rack: number, readonly arrivedMs: number, readonly runMs: number }
interface Run { readonly expectedEndMs: number, readonly endMs: number }
interface Result { readonly meanMs: number, readonly met: number, readonly near: number, readonly waitedMs: number }
/** Whether a task without a place near waits in this pass. */
type Rule = (task: Task, nowMs: number, wait: LocalityWait) => boolean

class Simulation {
  readonly #racks: Run[][] = Array.from({ length: RACKS }, () => [])
  readonly #targets = this.#racks.map((_, number) => ({ rack: `r${number}`, free: { processors: PLACES * 1_000 }, capacity: { total: resources({ processors: PLACES * 1_000 }) } }) as unknown as TargetSession)
  readonly #factor: number
  #nowMs = 0
  readonly wait: LocalityWait

  constructor (factor: number) {
    this.#factor = factor
    this.wait = new LocalityWait({
      runTimes: { expectedMs: () => EXPECTED_MS, quantileMs: () => EXPECTED_MS, remoteFactor: () => factor },
      forecast: {
        timeUntilRoomMs: ({ tasks, permits }) => {
          const runs = this.#racks[this.#targets.findIndex(target => permits?.(target) ?? true)] ?? []
          const ends = runs.map(({ expectedEndMs }) => Math.max(expectedEndMs - this.#nowMs, EXPECTED_MS / 8)).sort((left, right) => left - right)
          const missing = tasks - (PLACES - runs.length)
          return missing <= 0 ? 0 : ends[missing - 1] ?? Infinity
        },
        processorsWithin: () => 0,
        remainingMs: () => 0
      },
      onBegin: () => {},
      onEnd: () => {}
    })
  }

  get targets (): readonly TargetSession[] {
    return this.#targets
  }

  run (seed: number, utilization: number, anywhere: number, rule: Rule): Result {
    const random = new SeededRandom(seed)
    const next = (): number => random.next()
    const meanRunMs = EXPECTED_MS * (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
    const intervalMs = meanRunMs / (RACKS * PLACES * utilization)
    let waiting: Task[] = []
    let arrivalMs = 0
    const ends: number[] = []
    let near = 0
    let waitedMs = 0
    for (; this.#nowMs < DURATION_MS; this.#nowMs += PASS_MS) {
      while (arrivalMs <= this.#nowMs) {
        const rack = next() < anywhere ? -1 : next() < SKEW ? Math.floor(next() * 2) : Math.floor(next() * RACKS)
        const runMs = EXPECTED_MS * (0.5 + next()) * (next() < TAIL_SHARE ? TAIL_FACTOR : 1)
        const job = new JobProgress(createJobRecord('job', [createStep(1, { dataRack: `r${rack}`, estimateMs: EXPECTED_MS })]), TEST_QUEUE, 0)
        waiting.push({ step: job.steps[0] as StepProgress, rack, arrivedMs: arrivalMs, runMs })
        arrivalMs += intervalMs
      }
      for (const [number, runs] of this.#racks.entries()) this.#racks[number] = runs.filter(({ endMs }) => endMs > this.#nowMs)
      this.wait.beginPass()
      for (const [number, { free }] of this.#targets.entries()) Object.assign(free, { processors: (PLACES - (this.#racks[number]?.length ?? 0)) * 1_000 })
      const left: Task[] = []
      for (const task of waiting) {
        const hasRoom = (rack: number): boolean => rack >= 0 && (this.#racks[rack]?.length ?? PLACES) < PLACES
        const freest = this.#racks.map(({ length }, rack) => ({ length, rack })).sort((one, other) => one.length - other.length)[0]?.rack ?? 0
        const fullest = this.#racks.map(({ length }, rack) => ({ length, rack })).filter(({ length }) => length < PLACES).sort((one, other) => other.length - one.length)[0]?.rack ?? 0
        const chosen = hasRoom(task.rack) ? task.rack : task.rack < 0 ? fullest : freest
        if (!hasRoom(chosen) || (task.rack >= 0 && chosen !== task.rack && rule(task, this.#nowMs, this.wait))) {
          left.push(task)
          continue
        }
        const factor = chosen === task.rack || task.rack < 0 ? 1 : this.#factor
        this.#racks[chosen]?.push({ expectedEndMs: this.#nowMs + EXPECTED_MS * factor, endMs: this.#nowMs + task.runMs * factor })
        // The rule learns the demand from all starts.
        if (task.rack >= 0 && chosen === task.rack) this.wait.decide({ step: task.step, definition: task.step.definition, service: 'renders', racks: [`r${task.rack}`], findTargets: () => this.#targets, slackMs: 0, nowMs: this.#nowMs })
        if (task.rack < 0) continue
        near += chosen === task.rack ? 1 : 0
        waitedMs += this.#nowMs - task.arrivedMs
        ends.push(this.#nowMs + task.runMs * factor - task.arrivedMs)
      }
      waiting = left
    }
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
    return { meanMs: mean(ends), met: ends.filter(ms => ms <= OBJECTIVE_MS).length / ends.length, near: near / ends.length, waitedMs: waitedMs / ends.length }
  }
}

function fixedDelay (delayMs: number): Rule {
  return ({ arrivedMs }, nowMs) => nowMs - arrivedMs < delayMs
}

function byExpectedGain (targets: readonly TargetSession[]): Rule {
  return ({ step, arrivedMs }, nowMs, wait) => wait.decide({
    step, definition: step.definition, service: 'renders', racks: ['elsewhere'], findTargets: () => targets, slackMs: OBJECTIVE_MS - EXPECTED_MS - (nowMs - arrivedMs), nowMs
  }).length === 0
}

const RULES: ReadonlyArray<readonly [string, (simulation: Simulation) => Rule]> = [
  ['no wait', () => () => false],
  ...[100, 300, 1_000, 3_000].map((delayMs): readonly [string, () => Rule] => [`fixed delay of ${delayMs} ms`, () => fixedDelay(delayMs)]),
  ['expected gain', simulation => byExpectedGain(simulation.targets)]
]

const SCENES = ANYWHERE_SHARES.flatMap(anywhere => [1.5, 2].map(factor => ({ anywhere, factor })))

for (const { anywhere, factor } of SCENES) {
  for (const utilization of [0.3, 0.5, 0.7, 0.85]) {
    console.log(`${100 * (1 - anywhere)}% of the tasks with data, remote factor ${factor}, utilization ${utilization} with all runs near, ${SEEDS.length} seeds`)
    for (const [name, createRule] of RULES) {
      const results = SEEDS.map(seed => {
        const simulation = new Simulation(factor)
        return simulation.run(seed, utilization, anywhere, createRule(simulation))
      })
      const mean = (of: (result: Result) => number): number => results.reduce((sum, result) => sum + of(result), 0) / results.length
      console.log(`  ${name.padEnd(24)} mean ${mean(({ meanMs }) => meanMs).toFixed(0)} ms, objective met ${(100 * mean(({ met }) => met)).toFixed(1)}%, near ${(100 * mean(({ near }) => near)).toFixed(1)}%, waited ${mean(({ waitedMs }) => waitedMs).toFixed(0)} ms`)
    }
  }
}
