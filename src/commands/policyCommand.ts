/** `policy`: sets or removes settings of one branch. */
import type { Argv } from 'yargs'
import { withChange } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory } from './commandBuilder.ts'
import { requireTeam } from './requireTeam.ts'
import { createSettingOperations, readAssignments, readBranch } from './settingArguments.ts'
import { submitChange } from './submitChange.ts'

interface PolicyArguments extends ChangeArguments {
  readonly branch: string
  readonly settings: readonly string[]
}

export const createPolicyCommand: CommandFactory = ({ context, run }) => ({
  command: 'policy <branch> <settings..>',
  describe: 'Change settings of a team, a workload kind or a queue',
  builder: (parser: Argv) => withChange(parser)
    .positional('branch', { type: 'string', demandOption: true, describe: '/, /kinds/KIND, /teams/TEAM, /teams/TEAM/kinds/KIND or /queues/QUEUE' })
    .positional('settings', { type: 'string', array: true, demandOption: true, describe: 'NAME=VALUE with its unit; NAME=none removes a setting' })
    .example('$0 policy /teams/weavers/kinds/batch preemptible=false "crossRegionWait=2 s"', '`settings reference` lists the setting names'),
  handler: async (args: PolicyArguments) => await run(async () => {
    const branch = readBranch(args.branch)
    const assignments = readAssignments(args.settings)
    return await submitChange(args, context, snapshot => {
      if (branch.team !== undefined) requireTeam(snapshot, branch.team)
      return { operations: createSettingOperations(branch.path, assignments) }
    })
  })
})
