/** Plays the regression runs: npm run regress -- --bench PATH --sites FOLDER [--quick] [--list] [DEPLOYMENT...]. */
import { fileURLToPath } from 'node:url'
import yargs from 'yargs'
import { InputError } from '../../src/model/errors.ts'
import { formatTable } from '../../src/commands/formatTable.ts'
import { readRegressionList, selectDeployments } from './regressionList.ts'
import type { Deployment } from './regressionList.ts'
import { runRegressions } from './regressionRun.ts'
import type { RunResult } from './regressionRun.ts'

const DEFAULT_LIST = fileURLToPath(new URL('deployments.json', import.meta.url))
const EXIT_REGRESSION = 1
const EXIT_USAGE = 2

const parser = yargs(process.argv.slice(2))
  .usage('$0 [options] [DEPLOYMENT...]\n\nPlays the regression runs; without names, all deployments that are not retired.')
  .option('bench', { type: 'string', requiresArg: true, describe: "Path of the bench's program" })
  .option('sites', { type: 'string', requiresArg: true, describe: 'Folder to which the site files of the list are relative' })
  .option('file', { type: 'string', requiresArg: true, default: DEFAULT_LIST, describe: 'List of deployments' })
  .option('jobs', { type: 'number', requiresArg: true, default: 2, describe: 'Days that are played at the same time' })
  .option('quick', { type: 'boolean', default: false, describe: 'Play the light days only, and no hunt' })
  .option('list', { type: 'boolean', default: false, describe: 'Print the list and play nothing' })
  .strictOptions()
  .version(false)

try {
  const { _: names, bench, sites, file, jobs, quick, list } = await parser.parseAsync()
  const deployments = selectDeployments(readRegressionList(file), names.map(String))
  if (list) console.log(describeDeployments(deployments))
  else {
    if (bench === undefined || sites === undefined) throw new InputError('--bench and --sites are needed to play the runs')
    if (!Number.isInteger(jobs) || jobs < 1) throw new InputError('--jobs must be a whole number from 1')
    const results = await runRegressions(deployments, { bench, sites, quick, jobs, onProgress: line => console.error(line) })
    console.log(describeResults(results))
    if (results.some(({ problems }) => problems.length > 0)) process.exitCode = EXIT_REGRESSION
  }
} catch (error) {
  if (!(error instanceof InputError)) throw error
  console.error(error.message)
  process.exitCode = EXIT_USAGE
}

function describeDeployments (deployments: readonly Deployment[]): string {
  const rows = deployments.map(({ name, site, floors, huntDays, seeds }) =>
    [name, site, Object.entries(floors).map(([day, { worth }]) => `${day} ${worth}`).join(', ') || '-', String(huntDays), String(seeds.length)])
  return formatTable([['deployment', 'site', 'worth to reach', 'hunt days', 'seeds'], ...rows])
}

function describeResults (results: readonly RunResult[]): string {
  const rows = results.map(({ run: { deployment, kind, seed }, output: { days, hunt }, problems }) => [
    deployment.name,
    seed === undefined ? kind : `${kind} ${seed.day}`,
    hunt === undefined ? days.map(({ day, worth }) => `${day} ${worth}`).join(', ') || '-' : `${hunt.days} days, ${hunt.broken} broken`,
    problems.length === 0 ? 'passed' : problems.join('; ')
  ])
  return formatTable([['deployment', 'run', 'worth', 'result'], ...rows])
}
