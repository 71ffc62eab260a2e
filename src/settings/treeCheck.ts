/** Validation across settings: limits against shares, queues against teams, and kind branches against teams. */
import type { SettingsPath } from '../model/change.ts'
import { DIMENSIONS } from '../model/resources.ts'
import type { Dimension } from '../model/resources.ts'
import type { SettingName } from './schema.ts'
import { settingMeta } from './schema.ts'
import { parseBranch, teamPath } from './paths.ts'
import { LIMIT_SETTINGS, listTeams, resolveQueueSettings, resolveSetting } from './tree.ts'
import type { SettingsTree } from './tree.ts'
import { formatValue } from './values.ts'

export interface TreeProblem {
  /** The branch with the problem. */
  readonly path: SettingsPath
  /** The branch that sets the value. */
  readonly source: SettingsPath
  readonly name: SettingName
  readonly problem: string
  readonly hint: string
}

const CAPACITY_SETTINGS = { slots: 'capacitySlots', processors: 'capacityProcessors', memory: 'capacityMemory', accelerators: 'capacityAccelerators' } as const satisfies Record<Dimension, SettingName>

/**
 * Compares a limit with the team's share of the declared capacity. A limit of 0 deliberately excludes the team from
 * a dimension and is not compared.
 */
function checkLimit (values: SettingsTree, team: string, dimension: Dimension, totalShares: number): TreeProblem | undefined {
  const name = LIMIT_SETTINGS[dimension]
  const limit = resolveSetting(values, { team }, name)
  const capacity = resolveSetting(values, {}, CAPACITY_SETTINGS[dimension]).value
  const share = resolveSetting(values, { team }, 'share').value
  if (limit.value === undefined || limit.value === 0 || capacity === undefined || totalShares <= 0) return undefined
  const needed = Math.floor(capacity * share / totalShares)
  if (limit.value >= needed) return undefined
  const meta = settingMeta(name)
  return {
    path: teamPath(team),
    source: limit.source === 'default' ? teamPath(team) : limit.source,
    name,
    problem: `${name} = ${formatValue(limit.value, meta)} is less than the share of team ${team}: ${share} of ${totalShares} from ${formatValue(capacity, meta)} is ${formatValue(needed, meta)}`,
    hint: `use at least ${formatValue(needed, meta)}, 0 to exclude the team, or a smaller share`
  }
}

function checkTeams (values: SettingsTree): readonly TreeProblem[] {
  const teams = listTeams(values)
  const totalShares = teams.reduce((sum, team) => sum + resolveSetting(values, { team }, 'share').value, 0)
  return teams.flatMap(team => DIMENSIONS.flatMap(dimension => checkLimit(values, team, dimension, totalShares) ?? []))
}

function checkQueue (values: SettingsTree, path: SettingsPath, queue: string, teams: ReadonlySet<string>): readonly TreeProblem[] {
  const { open, team } = resolveQueueSettings({ settings: values }, queue)
  const fault = { path, source: path }
  if (open && team === undefined) {
    return [{ ...fault, name: 'open', problem: `queue ${queue} is open but has no team`, hint: 'set team = TEAM, whose share and limits apply' }]
  }
  if (team !== undefined && !teams.has(team)) {
    return [{ ...fault, name: 'team', problem: `queue ${queue} names team ${team}, which has no branch ${teamPath(team)}`, hint: `create the team first, or use one of: ${[...teams].join(', ') || 'none yet'}` }]
  }
  return []
}

function checkKindBranch (path: SettingsPath, team: string, teams: ReadonlySet<string>): readonly TreeProblem[] {
  if (teams.has(team)) return []
  return [{ path, source: path, name: 'share', problem: `${path} belongs to team ${team}, which has no branch ${teamPath(team)}`, hint: `create ${teamPath(team)} first` }]
}

/**
 * Validates a whole tree. The single values must already be valid.
 *
 * @example
 * checkTree({ '/queues/kiosk': { open: true } })[0]?.problem // 'queue kiosk is open but has no team'
 */
export function checkTree (values: SettingsTree): readonly TreeProblem[] {
  const teams = new Set(listTeams(values))
  const branches = (Object.keys(values) as SettingsPath[]).flatMap(path => {
    const branch = parseBranch(path)
    if (branch?.queue !== undefined) return checkQueue(values, path, branch.queue, teams)
    if (branch?.level === 'teamKind' && branch.team !== undefined) return checkKindBranch(path, branch.team, teams)
    return []
  })
  return [...checkTeams(values), ...branches]
}
