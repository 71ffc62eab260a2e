/** `drain` and `undrain`: stop and resume sending new work to a target, an instance or a data centre. */
import type { Argv } from 'yargs'
import type { DrainScope, Operation } from '../model/change.ts'
import { withChange } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory } from './commandBuilder.ts'
import { CommandError, EXIT_CODES } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import { withOperatorClient } from './operatorClient.ts'
import { submitChange } from './submitChange.ts'

const SCOPES: Readonly<Record<string, DrainScope>> = { target: 'target', instance: 'instance', 'data-centre': 'dataCentre' }

interface DrainArguments extends ChangeArguments {
  readonly scope: string
  readonly name?: string
}

async function drainSelf (args: DrainArguments, context: CommandContext): Promise<ExitCode> {
  const { state } = await withOperatorClient(args, context, async client => await client.drainSelf())
  context.print(args.json ? JSON.stringify({ state }) : `The instance has started a planned stop (state: ${state}). It finishes running tasks, hands over its targets and exits.`)
  return EXIT_CODES.done
}

function getRequiredName (args: DrainArguments): string {
  if (args.name === undefined) throw new CommandError(`give the name of the ${args.scope}, as shown by \`status\``, EXIT_CODES.usageError)
  return args.name
}

async function submitDrainChange (type: 'drain' | 'undrain', args: DrainArguments, context: CommandContext): Promise<ExitCode> {
  const scope = SCOPES[args.scope] ?? 'target'
  const name = getRequiredName(args)
  return await submitChange(args, context, ({ drains }) => {
    const isDrained = drains.some(drain => drain.scope === scope && drain.name === name)
    const operations: readonly Operation[] = isDrained === (type === 'drain') ? [] : [{ type, scope, name }]
    return { operations, notes: operations.length === 0 ? [`${args.scope} ${name} is ${isDrained ? 'already' : 'not'} being drained.`] : [] }
  })
}

export const createDrainCommand: CommandFactory = ({ context, run }) => ({
  command: 'drain <scope> [name]',
  describe: 'Stop sending new work to a target, an instance or a data centre',
  builder: (parser: Argv) => withChange(parser)
    .positional('scope', { choices: [...Object.keys(SCOPES), 'self'], demandOption: true, describe: '`self` drains and stops the instance at --address' })
    .positional('name', { type: 'string', describe: 'Name of the target, instance or data centre' })
    .example('$0 drain target runner-7', 'Before maintenance; running tasks finish')
    .example('$0 drain self --address 10.0.0.5:8001', 'Planned stop of one instance'),
  handler: async (args: DrainArguments) => await run(async () => {
    if (args.scope !== 'self') return await submitDrainChange('drain', args, context)
    if (args.name !== undefined || args.dryRun) throw new CommandError('`drain self` accepts neither a name nor --dry-run; it stops the instance at --address', EXIT_CODES.usageError)
    return await drainSelf(args, context)
  })
})

export const createUndrainCommand: CommandFactory = ({ context, run }) => ({
  command: 'undrain <scope> <name>',
  describe: 'Resume sending new work after a drain',
  builder: (parser: Argv) => withChange(parser)
    .positional('scope', { choices: Object.keys(SCOPES), demandOption: true, describe: 'Scope that was drained' })
    .positional('name', { type: 'string', demandOption: true, describe: 'Name of the target, instance or data centre' })
    .example('$0 undrain target runner-7', 'After maintenance'),
  handler: async (args: DrainArguments) => await run(async () => await submitDrainChange('undrain', args, context))
})
