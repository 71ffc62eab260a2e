/** Plays the runs of a regression list with the users' bench and judges their results. */
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { parseBenchOutput } from './benchOutput.ts'
import type { BenchOutput } from './benchOutput.ts'
import type { Deployment, RegressionSeed } from './regressionList.ts'

/** Two runs of the same sources differ by up to this much, since the processor time of the real machine is charged. */
const WORTH_NOISE = 0.15

export interface RegressionOptions {
  /** Path of the bench's program. */
  readonly bench: string
  /** Folder to which the paths of the site files are relative. */
  readonly sites: string
  /** Plays only the light days of each deployment, and no hunt. */
  readonly quick: boolean
  /** Number of days that the bench plays at the same time. */
  readonly jobs: number
  readonly onProgress: (line: string) => void
}

/** A call of the bench. */
export interface PlannedRun {
  readonly deployment: Deployment
  readonly kind: 'score' | 'hunt' | 'seed'
  readonly seed?: RegressionSeed
  readonly arguments: readonly string[]
}

export interface RunResult {
  readonly run: PlannedRun
  readonly output: BenchOutput
  /** One line for each broken rule, failed gate or fall beyond noise; empty if there is no regression. */
  readonly problems: readonly string[]
}

/** Returns the calls of the bench that the deployments need, in order. */
export function planRuns (deployments: readonly Deployment[], { sites, quick, jobs }: Pick<RegressionOptions, 'sites' | 'quick' | 'jobs'>): readonly PlannedRun[] {
  return deployments.flatMap((deployment): readonly PlannedRun[] => {
    const { name, site, huntDays, seeds } = deployment
    const file = join(sites, site)
    const common = ['--jobs', String(jobs), '--why', `regression run of ${name}`]
    const score: PlannedRun = { deployment, kind: 'score', arguments: ['score', file, ...(quick ? ['--quick'] : []), ...common] }
    const played = seeds.map((seed): PlannedRun => ({
      deployment,
      kind: 'seed',
      seed,
      arguments: ['run', file, seed.day, ...(seed.vary === true ? ['--vary'] : []), ...(seed.seed === undefined ? [] : ['--seed', String(seed.seed)]), '--why', `regression run of ${name}: ${seed.cause}`]
    }))
    if (quick) return [score, ...played]
    return [score, ...played, ...(huntDays === 0 ? [] : [{ deployment, kind: 'hunt' as const, arguments: ['hunt', file, '--days', String(huntDays), ...common] }])]
  })
}

/**
 * Returns the problems of one run.
 *
 * @example
 * const problems = judgeRun(run, parseBenchOutput(stdout), 0)
 */
export function judgeRun ({ deployment, kind }: PlannedRun, { days, gatePassed, hunt }: BenchOutput, exitCode: number): readonly string[] {
  const problems: string[] = []
  if (exitCode !== 0) problems.push(`the bench ended with exit code ${exitCode}`)
  if (kind === 'hunt') {
    if (hunt === undefined) problems.push('the hunt printed no result')
    else if (hunt.broken > 0) problems.push(`${hunt.broken} of ${hunt.days} days of the hunt broke a rule`)
    return problems
  }
  if (days.length === 0) problems.push('the bench printed no day')
  if (kind === 'score' && gatePassed !== true) problems.push(gatePassed === undefined ? 'the bench printed no gate' : 'the gate failed')
  for (const { day, worth, remark } of days) {
    const floor = deployment.floors[day]
    if (floor !== undefined && worth < floor.worth - WORTH_NOISE) {
      problems.push(`${day}: worth ${worth}, ${floor.worth} on ${floor.measuredOn} (${floor.journal}), beyond the noise of ${WORTH_NOISE}; ${remark}`)
    }
  }
  return problems
}

/** Plays the deployments one run after another; a run that cannot be started counts as a problem. */
export async function runRegressions (deployments: readonly Deployment[], options: RegressionOptions): Promise<readonly RunResult[]> {
  const results: RunResult[] = []
  const runs = planRuns(deployments, options)
  for (const [position, run] of runs.entries()) {
    options.onProgress(`${position + 1}/${runs.length} ${run.deployment.name}: ${run.kind}${run.seed === undefined ? '' : ` ${run.seed.day}`}`)
    const { text, exitCode } = await play(options.bench, run.arguments)
    const output = parseBenchOutput(text)
    results.push({ run, output, problems: judgeRun(run, output, exitCode) })
  }
  return results
}

async function play (bench: string, benchArguments: readonly string[]): Promise<{ readonly text: string, readonly exitCode: number }> {
  return await new Promise(resolve => {
    const child = spawn(bench, benchArguments, { stdio: ['ignore', 'pipe', 'inherit'] })
    let text = ''
    child.stdout.setEncoding('utf8').on('data', (chunk: string) => { text += chunk })
    child.on('error', error => resolve({ text: `${text}\n${error.message}`, exitCode: -1 }))
    child.on('close', code => resolve({ text, exitCode: code ?? -1 }))
  })
}
