/** Command-line entry point of the soak test: `npm run soak -- --seed 7 --seeds 50 --jobs 4`. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { PROGRAM } from '../processes/testTeam.ts'
import { runDeployment } from './runDeployment.ts'
import { runSoak } from './runSoak.ts'
import type { SoakReport } from './runSoak.ts'

const options = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: Math.floor(Date.now() / 1_000) % 1_000_000, describe: 'First seed; derived from the current time by default' })
  .option('seeds', { type: 'number', default: 1, describe: 'Number of consecutive seeds to run' })
  .option('seconds', { type: 'number', default: 30, describe: 'Duration of the load for each seed' })
  .option('jobs', { type: 'number', default: 1, describe: 'Number of seeds to run in parallel' })
  .option('instances', { type: 'number', default: 3, describe: 'Number of instance processes for each seed' })
  .option('workers', { type: 'number', default: 6, describe: 'Number of targets for each seed' })
  .option('deadly', { type: 'number', default: 0, describe: 'Fraction of the jobs that crash each target that starts them' })
  .option('logs', { type: 'string', default: 'soak-logs', describe: 'Directory for the logs of failed seeds' })
  .option('program', { type: 'string', default: PROGRAM[0] as string, describe: 'Program of the instances' })
  .option('deployment', { type: 'boolean', default: false, describe: 'Whether to run the load and the disruptions of a large deployment' })
  .option('rate', { type: 'number', default: 12, describe: 'Submissions per second with --deployment' })
  .option('shares', { type: 'number', array: true, default: [1], describe: 'Shares of a processor that the instances have in turn, with --deployment' })
  .check(({ shares }) => {
    if (shares.every(share => share > 0)) return true
    throw new Error('--shares: each share must be a number greater than 0')
  })
  .strict()
  .parse()

const pendingSeeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index)
const failed: number[] = []
const totals = { calls: 0, accepted: 0, starts: 0, faults: 0 }

async function recordResult ({ seed, violations, faults, jobs, accepted, calls, starts, relatedEvents, lines }: SoakReport): Promise<void> {
  totals.calls += calls
  totals.accepted += accepted
  totals.starts += starts
  totals.faults += faults.length
  console.log(`seed ${seed}: ${jobs} jobs, ${accepted} accepted, ${calls} calls, ${starts} starts, ${faults.length} faults, ${violations.length} violations`)
  if (violations.length === 0) return
  failed.push(seed)
  for (const violation of violations.slice(0, 12)) console.log(`  ${violation}`)
  await mkdir(options.logs, { recursive: true })
  const plan = faults.map(({ atMs, fault }) => `${atMs} ${JSON.stringify(fault)}`)
  await writeFile(join(options.logs, `seed-${seed}.log`), [...violations, ...relatedEvents.map(event => JSON.stringify(event)), ...plan, ...lines].join('\n'))
}

async function runDeploymentSeed (seed: number): Promise<void> {
  await mkdir(options.logs, { recursive: true })
  const logFile = join(options.logs, `deployment-${seed}.log`)
  const violations = await runDeployment({ seed, durationMs: options.seconds * 1_000, program: [options.program], instances: options.instances, workers: options.workers, perSecond: options.rate, processorShares: options.shares, logFile })
  if (violations.length > 0) failed.push(seed)
  for (const violation of violations.slice(0, 12)) console.log(`  ${violation}`)
}

async function runSeeds (): Promise<void> {
  for (let seed = pendingSeeds.shift(); seed !== undefined; seed = pendingSeeds.shift()) {
    if (options.deployment) {
      await runDeploymentSeed(seed)
      continue
    }
    await recordResult(await runSoak({ seed, durationMs: options.seconds * 1_000, program: [options.program], instances: options.instances, workers: options.workers, deadlyFraction: options.deadly }))
  }
}

await Promise.all(Array.from({ length: options.jobs }, runSeeds))
console.log(`${options.seeds} seeds: ${totals.accepted} jobs accepted, ${totals.calls} calls, ${totals.starts} starts, ${totals.faults} faults; failed: ${failed.length === 0 ? 'none' : failed.join(' ')}`)
process.exitCode = failed.length === 0 ? 0 : 1
