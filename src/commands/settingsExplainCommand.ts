/** `settings explain`: shows the effective value of each setting and the branch that sets it. */
import type { Argv } from 'yargs'
import type { SettingsPath } from '../model/change.ts'
import type { KindName } from '../model/request.ts'
import { readSettingsFile } from '../settings/ini.ts'
import { KIND_NAMES } from '../settings/paths.ts'
import { SETTING_NAMES, settingMeta } from '../settings/schema.ts'
import type { SettingName } from '../settings/schema.ts'
import { listBranches, resolveSetting } from '../settings/tree.ts'
import type { SettingsScope, SettingsTree } from '../settings/tree.ts'
import { formatValue, suggestName } from '../settings/values.ts'
import { withConnection } from './commandBuilder.ts'
import type { CommandFactory, ConnectionArguments } from './commandBuilder.ts'
import { CommandError, EXIT_CODES, readInputFile } from './commandContext.ts'
import type { CommandContext } from './commandContext.ts'
import { formatTable } from './formatTable.ts'
import { withOperatorClient } from './operatorClient.ts'

interface ExplainArguments extends ConnectionArguments {
  readonly names?: readonly string[]
  readonly team?: string
  readonly kind?: KindName
  readonly queue?: string
  readonly file?: string
}

function selectNames (scope: SettingsScope, requested: readonly string[]): readonly SettingName[] {
  const isWholeCluster = scope.team === undefined && scope.kind === undefined
  const levels = listBranches(scope).map(({ level }) => level).filter(level => level !== 'root' || isWholeCluster)
  const applicable = SETTING_NAMES.filter(name => settingMeta(name).levels.some(level => levels.includes(level)))
  const unknownName = requested.find(name => !(applicable as readonly string[]).includes(name))
  if (unknownName !== undefined) throw new CommandError(`there is no setting "${unknownName}" here; ${suggestName(unknownName, applicable)}`, EXIT_CODES.usageError)
  return requested.length === 0 ? applicable : applicable.filter(name => requested.includes(name))
}

function checkScope (values: SettingsTree, scope: SettingsScope): void {
  const path: SettingsPath | undefined = scope.team !== undefined ? `/teams/${scope.team}` : scope.queue !== undefined ? `/queues/${scope.queue}` : undefined
  if (path === undefined || Object.hasOwn(values, path)) return
  const parentPath = path.slice(0, path.lastIndexOf('/') + 1)
  const known = Object.keys(values).filter(other => other.startsWith(parentPath) && other.split('/').length === 3).map(other => other.slice(parentPath.length))
  throw new CommandError(`there is no branch ${path}; ${known.length === 0 ? `${parentPath} has no branches yet` : `known: ${known.sort().join(', ')}`}`, EXIT_CODES.rejected)
}

async function readTree (args: ExplainArguments, context: CommandContext): Promise<SettingsTree> {
  if (args.file !== undefined) return readSettingsFile(args.file, await readInputFile(args.file))
  const { settings } = await withOperatorClient(args, context, async client => await client.readConfiguration())
  return settings
}

export const createSettingsExplainCommand: CommandFactory = ({ context, run }) => ({
  command: 'explain [names..]',
  describe: 'Show the effective value of each setting and the branch that sets it',
  builder: (parser: Argv) => withConnection(parser)
    .positional('names', { type: 'string', array: true, describe: 'Settings to show (default: all)' })
    .option('team', { type: 'string', requiresArg: true, describe: 'Show the settings that apply to this team' })
    .option('kind', { choices: KIND_NAMES, requiresArg: true, describe: 'Show the settings that apply to this workload kind' })
    .option('queue', { type: 'string', requiresArg: true, conflicts: ['team', 'kind'], describe: 'Show the settings that apply to this queue' })
    .option('file', { type: 'string', requiresArg: true, describe: 'Explain a settings file instead of the current settings' })
    .example('$0 settings explain keyGrace --team weavers', 'Find out where a value comes from'),
  handler: async (args: ExplainArguments) => await run(async () => {
    const scope: SettingsScope = { team: args.team, kind: args.kind, queue: args.queue }
    const names = selectNames(scope, args.names ?? [])
    const values = await readTree(args, context)
    checkScope(values, scope)
    const resolved = names.map(name => ({ name, ...resolveSetting(values, scope, name) }))
    if (args.json) context.print(JSON.stringify(resolved, null, 2))
    else context.print(formatTable([['SETTING', 'VALUE', 'SET IN'], ...resolved.map(({ name, value, source }) => [name, formatValue(value, settingMeta(name)), source])]))
    return EXIT_CODES.done
  })
})
