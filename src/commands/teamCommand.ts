/** `team`: creates, removes and lists teams. */
import type { Argv } from 'yargs'
import type { ConfigurationSnapshot } from '../model/change.ts'
import type { Limit } from '../model/resources.ts'
import { removeBranch } from '../settings/diff.ts'
import { listTeams, resolveLimit, resolveSetting } from '../settings/tree.ts'
import { withChange, withConnection } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory, ConnectionArguments, Subcommand } from './commandBuilder.ts'
import { CommandError, EXIT_CODES } from './commandContext.ts'
import { formatLimit, formatTable } from './formatTable.ts'
import { readLimits, withLimits } from './limitOptions.ts'
import type { LimitArguments } from './limitOptions.ts'
import { withOperatorClient } from './operatorClient.ts'
import { createSettingOperations, readTeamPath } from './settingArguments.ts'
import { submitChange } from './submitChange.ts'

interface TeamArguments extends ChangeArguments, LimitArguments {
  readonly team: string
  readonly share?: string
}

const createTeamCreateCommand: CommandFactory = ({ context, run }) => ({
  command: 'create <team>',
  describe: 'Create a team with its share and limits',
  builder: (parser: Argv) => withLimits(withChange(parser))
    .positional('team', { type: 'string', demandOption: true, describe: 'Name of the team' })
    .option('share', { type: 'string', requiresArg: true, default: '1', describe: 'Weight of the team\'s share of the cluster' })
    .example('$0 team create weavers --share 2 --slots 40 --memory "64 GB"', 'Next, create a key with `key create weavers`'),
  handler: async (args: TeamArguments) => await run(async () => await submitChange(args, context, snapshot => {
    const path = readTeamPath(args.team)
    if (Object.hasOwn(snapshot.settings, path)) throw new CommandError(`team ${args.team} already exists; change it with share, limit or policy`, EXIT_CODES.rejected)
    return { operations: createSettingOperations(path, { share: args.share ?? '1', ...readLimits(args) }) }
  }))
})

const createTeamRemoveCommand: CommandFactory = ({ context, run }) => ({
  command: 'remove <team>',
  describe: 'Remove a team and its settings, and withdraw its keys',
  builder: (parser: Argv) => withChange(parser)
    .positional('team', { type: 'string', demandOption: true, describe: 'Name of the team' })
    .example('$0 team remove weavers --dry-run', 'Preview which keys and settings are removed'),
  handler: async (args: TeamArguments) => await run(async () => await submitChange(args, context,
    snapshot => ({ operations: removeBranch(readTeamPath(args.team), snapshot) })))
})

function describeTeam (snapshot: ConfigurationSnapshot, team: string): { readonly team: string, readonly share: number, readonly limit: Limit, readonly validKeys: number } {
  return {
    team,
    share: resolveSetting(snapshot.settings, { team }, 'share').value,
    limit: resolveLimit(snapshot.settings, team),
    validKeys: snapshot.keys.filter(key => key.team === team && !key.withdrawn).length
  }
}

const createTeamListCommand: CommandFactory = ({ context, run }) => ({
  command: 'list',
  describe: 'List teams with their shares, limits and numbers of valid keys',
  builder: (parser: Argv) => withConnection(parser).example('$0 team list', 'Show all teams'),
  handler: async (args: ConnectionArguments) => await run(async () => {
    const snapshot = await withOperatorClient(args, context, async client => await client.readConfiguration())
    const teams = listTeams(snapshot.settings).map(team => describeTeam(snapshot, team))
    if (args.json) context.print(JSON.stringify(teams, null, 2))
    else if (teams.length === 0) context.print('No teams found; create one with `team create`.')
    else context.print(formatTable([['TEAM', 'SHARE', 'LIMIT', 'VALID KEYS'], ...teams.map(({ team, share, limit, validKeys }) => [team, String(share), formatLimit(limit), String(validKeys)])]))
    return EXIT_CODES.done
  })
})

export const createTeamCommand: CommandFactory = (dependencies): Subcommand => ({
  command: 'team',
  describe: 'Create, remove and list teams',
  builder: (parser: Argv) => parser
    .command(createTeamCreateCommand(dependencies))
    .command(createTeamRemoveCommand(dependencies))
    .command(createTeamListCommand(dependencies))
    .demandCommand(1, 'Give a subcommand: create, remove or list.'),
  handler: () => {}
})
