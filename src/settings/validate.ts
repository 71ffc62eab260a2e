/** Validates a change against a snapshot of the configuration. */
import type { ConfigurationSnapshot, Operation, SettingsPath } from '../model/change.ts'
import { applyOperation } from './applyOperations.ts'
import type { ConfigurationContent } from './applyOperations.ts'
import { formatIssues, operationsSchema } from './operationSchema.ts'
import { isWithin, parseBranch, teamPath } from './paths.ts'
import { findOldSetting } from './renamed.ts'
import { isSettingName, SETTING_NAMES } from './schema.ts'
import { checkTree } from './treeCheck.ts'
import { checkValue, findSetting, suggestName } from './values.ts'

type OperationOf<Type extends Operation['type']> = Extract<Operation, { readonly type: Type }>

function checkSet (operation: OperationOf<'set'>): readonly string[] {
  const branch = parseBranch(operation.path)
  if (branch === undefined) return []
  return Object.entries(operation.values).flatMap(([name, value]) => {
    const found = findSetting(name, branch)
    if (!('value' in found)) return [`${operation.path}: ${found.problem}; ${found.hint}`]
    if (found.value !== name) return [`${operation.path}: ${name} was renamed; use ${found.value}`]
    const checked = checkValue(found.value, value)
    return 'value' in checked ? [] : [`${operation.path}: ${checked.problem}; ${checked.hint}`]
  })
}

function checkUnset (operation: OperationOf<'unset'>): readonly string[] {
  return operation.names
    .filter(name => !isSettingName(name) && findOldSetting(name) === undefined)
    .map(name => `${operation.path}: there is no setting "${name}"; ${suggestName(name, SETTING_NAMES)}`)
}

function checkRemoval (content: ConfigurationContent, operation: OperationOf<'removeBranch'>): readonly string[] {
  const known = Object.keys(content.settings).some(path => isWithin(path, operation.path))
  if (!known) return [`${operation.path}: there is no such branch`]
  const branch = parseBranch(operation.path)
  const validKeys = branch?.level === 'team' ? content.keys.filter(key => key.team === branch.team && !key.withdrawn) : []
  if (validKeys.length === 0) return []
  return [`${operation.path}: the team still has valid keys; withdraw ${validKeys.map(key => key.keyId).join(', ')} first`]
}

function checkNewKey (content: ConfigurationContent, operation: OperationOf<'createKey'>): readonly string[] {
  const messages: string[] = []
  if (!Object.hasOwn(content.settings, teamPath(operation.team))) messages.push(`key ${operation.keyId}: there is no team ${operation.team}; create the team first`)
  if (content.keys.some(key => key.keyId === operation.keyId)) messages.push(`key ${operation.keyId}: a key with this ID already exists; choose another ID`)
  if (content.keys.some(key => key.hash === operation.hash)) messages.push(`key ${operation.keyId}: this key already exists; create a new random key`)
  return messages
}

function checkOperation (content: ConfigurationContent, operation: Operation): readonly string[] {
  switch (operation.type) {
    case 'set': return checkSet(operation)
    case 'unset': return checkUnset(operation)
    case 'removeBranch': return checkRemoval(content, operation)
    case 'createKey': return checkNewKey(content, operation)
    case 'withdrawKey':
      return content.keys.some(key => key.keyId === operation.keyId) ? [] : [`there is no key ${operation.keyId}; list the keys to find its identity`]
    case 'drain': return []
    case 'undrain': {
      const marked = content.drains.some(({ scope, name }) => scope === operation.scope && name === operation.name)
      return marked ? [] : [`${operation.scope} ${operation.name} is not being drained`]
    }
  }
}

function affectedPaths (operations: readonly Operation[]): readonly SettingsPath[] {
  return operations.flatMap(operation => 'path' in operation ? [operation.path] : [])
}

/** Removing a team can leave queues that refer to it, so queues are checked whenever any branch of a team is affected. */
function isAffected (problemPath: SettingsPath, affected: readonly SettingsPath[]): boolean {
  const isQueue = parseBranch(problemPath)?.level === 'queue'
  return affected.some(path => isWithin(problemPath, path) || isWithin(path, problemPath) || (isQueue && path.startsWith('/teams/')))
}

/**
 * Returns the problems of a change; an empty list means that the change is valid. `operations` may be any value, also
 * malformed input. Problems that the snapshot already has in branches unaffected by the change are not reported.
 *
 * @example
 * validateOperations(snapshot, [{ type: 'set', path: '/teams/weavers', values: { keyGrace: 10 } }])
 * // ['/teams/weavers: keyGrace is 10 ms, which is out of range; use 1 s to 1 h']
 */
export function validateOperations (snapshot: ConfigurationSnapshot, operations: unknown): readonly string[] {
  const parsed = operationsSchema.safeParse(operations)
  if (!parsed.success) return formatIssues('operations', parsed.error)
  const messages: string[] = []
  let content: ConfigurationContent = snapshot
  for (const operation of parsed.data) {
    messages.push(...checkOperation(content, operation))
    content = applyOperation(content, operation)
  }
  if (messages.length > 0) return messages
  const affected = affectedPaths(parsed.data)
  return checkTree(content.settings)
    .filter(({ path }) => isAffected(path, affected))
    .map(({ path, problem, hint }) => `${path}: ${problem}; ${hint}`)
}
