/** `limit`: sets the upper limit of a team across all data centres. */
import type { Argv } from 'yargs'
import { withChange } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory } from './commandBuilder.ts'
import { CommandError, EXIT_CODES } from './commandContext.ts'
import { readLimits, withLimits } from './limitOptions.ts'
import type { LimitArguments } from './limitOptions.ts'
import { requireTeam } from './requireTeam.ts'
import { createSettingOperations } from './settingArguments.ts'
import { submitChange } from './submitChange.ts'

interface TeamLimitArguments extends ChangeArguments, LimitArguments {
  readonly team: string
}

export const createLimitCommand: CommandFactory = ({ context, run }) => ({
  command: 'limit <team>',
  describe: 'Set a team\'s upper limit across all data centres',
  builder: (parser: Argv) => withLimits(withChange(parser))
    .positional('team', { type: 'string', demandOption: true, describe: 'Name of the team' })
    .example('$0 limit weavers --slots 40 --memory "64 GB"', 'Running tasks are not stopped; the output shows what exceeds the limit')
    .example('$0 limit weavers --memory none', 'Remove the limit on memory'),
  handler: async (args: TeamLimitArguments) => await run(async () => {
    const limits = readLimits(args)
    if (Object.keys(limits).length === 0) throw new CommandError('give at least one of --slots, --processors, --memory, --accelerators', EXIT_CODES.usageError)
    return await submitChange(args, context, snapshot => ({ operations: createSettingOperations(requireTeam(snapshot, args.team), limits) }))
  })
})
