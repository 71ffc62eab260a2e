/** Describes the effect of operations in text. */
import type { ConfigurationSnapshot, DrainScope, Operation, SettingsPath, SettingValue } from '../model/change.ts'
import { applyOperation } from './applyOperations.ts'
import type { ConfigurationContent } from './applyOperations.ts'
import type { SettingsTree } from './tree.ts'
import { formatSetting } from './values.ts'

const NOT_SET = '(not set)'

const SCOPE_LABELS: Readonly<Record<DrainScope, string>> = { target: 'target', instance: 'instance', dataCentre: 'data centre' }

/** Returns the value set in the branch itself, not inherited from another branch. */
export function ownValue (values: SettingsTree, path: SettingsPath, name: string): SettingValue | undefined {
  const branch = Object.hasOwn(values, path) ? values[path] : undefined
  return branch !== undefined && Object.hasOwn(branch, name) ? branch[name] : undefined
}

function describeValue (values: SettingsTree, path: SettingsPath, name: string, after: SettingValue | undefined): readonly string[] {
  const before = ownValue(values, path, name)
  if (before === after) return []
  const written = (value: SettingValue | undefined): string => value === undefined ? NOT_SET : formatSetting(name, value)
  return [`${path} ${name}: ${written(before)} -> ${written(after)}`]
}

function describeOperation ({ settings, keys }: ConfigurationContent, operation: Operation): readonly string[] {
  switch (operation.type) {
    case 'set': {
      const { path, values } = operation
      const created = path !== '/' && !Object.hasOwn(settings, path) ? [`${path}: created`] : []
      return [...created, ...Object.entries(values).flatMap(([name, value]) => describeValue(settings, path, name, value))]
    }
    case 'unset': return operation.names.flatMap(name => describeValue(settings, operation.path, name, undefined))
    case 'removeBranch': return [`${operation.path}: removed with everything below it`]
    case 'createKey': return [`key ${operation.keyId} of team ${operation.team}: created`]
    case 'withdrawKey': return [`key ${operation.keyId} of team ${keys.find(key => key.keyId === operation.keyId)?.team ?? '(unknown)'}: withdrawn`]
    case 'drain': return [`${SCOPE_LABELS[operation.scope]} ${operation.name}: gets no new work`]
    case 'undrain': return [`${SCOPE_LABELS[operation.scope]} ${operation.name}: gets new work again`]
  }
}

/**
 * Describes what operations change, one line per change, in the order of the operations.
 *
 * @example
 * describeOperations(snapshot, [{ type: 'set', path: '/teams/weavers', values: { share: 2 } }])
 * // ['/teams/weavers share: 1 -> 2']
 */
export function describeOperations (snapshot: Pick<ConfigurationSnapshot, 'settings' | 'keys' | 'drains'>, operations: readonly Operation[]): readonly string[] {
  const lines: string[] = []
  let content: ConfigurationContent = snapshot
  for (const operation of operations) {
    lines.push(...describeOperation(content, operation))
    content = applyOperation(content, operation)
  }
  return lines
}
