/** Lists and runs the experiments: `npm run bench`, `npm run bench -- NAME`. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

interface Experiment {
  readonly name: string
  readonly summary: string
  run (): Promise<void>
}

const EXPERIMENTS: readonly Experiment[] = [
  {
    name: 'thinPath',
    summary: 'requests per second and added latency of one instance, with real processes; needs npm run build',
    run: async () => await (await import('./thinPath.ts')).runThinPathBench()
  },
  {
    name: 'control',
    summary: 'control-plane cost per instance at 3, 7, 14 and 31 instances',
    run: async () => await (await import('./experiments/control.ts')).runControlBench()
  },
  {
    name: 'waiting',
    summary: 'waiting time of price checks under overload',
    run: async () => await (await import('./experiments/waiting.ts')).runWaitingBench()
  },
  {
    name: 'packing',
    summary: 'used fraction of the capacity, compared with an offline packer',
    run: async () => await (await import('./experiments/packing.ts')).runPackingBench()
  },
  {
    name: 'shares',
    summary: 'share of each team compared with its entitlement, and unused limits',
    run: async () => await (await import('./experiments/shares.ts')).runSharesBench()
  },
  {
    name: 'recovery',
    summary: 'time until lost capacity is used again, and goodput',
    run: async () => await (await import('./experiments/recovery.ts')).runRecoveryBench()
  },
  {
    name: 'retries',
    summary: 'sends per request while a data centre fails',
    run: async () => await (await import('./experiments/retries.ts')).runRetriesBench()
  },
  {
    name: 'claims',
    summary: 'claims per second, store writes and latency',
    run: async () => await (await import('./experiments/claims.ts')).runClaimsBench()
  },
  {
    name: 'memory',
    summary: 'heap per target, team, task, request and claim of one instance',
    run: async () => await (await import('./experiments/memory.ts')).runMemoryBench()
  },
  {
    name: 'renewals',
    summary: 'processor time of lease renewals',
    run: async () => await (await import('./experiments/renewals.ts')).runRenewalsBench()
  },
  {
    name: 'flood',
    summary: 'waiting time of jobs and processor time by role at rising rates, with real processes; needs npm run build',
    run: async () => await (await import('./experiments/flood.ts')).runFloodBench()
  },
  {
    name: 'decision',
    summary: 'decisions per second and latency of a decision',
    run: async () => await (await import('./decision.ts')).runDecisionBench()
  }
]

async function main (): Promise<void> {
  const names = EXPERIMENTS.map(({ name }) => name)
  const { experiment } = await yargs(hideBin(process.argv))
    .command('$0 [experiment]', 'runs one experiment, or lists and runs all', command =>
      command.positional('experiment', { type: 'string', choices: names }))
    .strict().parse()
  const selected = EXPERIMENTS.filter(({ name }) => experiment === undefined || name === experiment)
  for (const { name, summary } of selected) console.log(`${name}: ${summary}`)
  for (const { run } of selected) await run()
}

await main()
// Requests of an experiment may still be waiting for their deadlines.
process.exit()
