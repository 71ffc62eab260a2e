/** `share`: sets the weight of a team's share. */
import type { Argv } from 'yargs'
import { requireTeam } from './requireTeam.ts'
import { withChange } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory } from './commandBuilder.ts'
import { createSettingOperations } from './settingArguments.ts'
import { submitChange } from './submitChange.ts'

interface ShareArguments extends ChangeArguments {
  readonly team: string
  readonly weight: string
}

export const createShareCommand: CommandFactory = ({ context, run }) => ({
  command: 'share <team> <weight>',
  describe: 'Set the weight of a team\'s share of the cluster',
  builder: (parser: Argv) => withChange(parser)
    .positional('team', { type: 'string', demandOption: true, describe: 'Name of the team' })
    .positional('weight', { type: 'string', demandOption: true, describe: 'Weight; a team with 2 is entitled to twice as much as a team with 1' })
    .example('$0 share weavers 2', 'Give weavers twice the share of a team with weight 1'),
  handler: async (args: ShareArguments) => await run(async () => await submitChange(args, context, snapshot => ({
    operations: createSettingOperations(requireTeam(snapshot, args.team), { share: args.weight })
  })))
})
