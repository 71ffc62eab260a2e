/** Builders for the zod schema of a setting, with its unit, range, levels and description as metadata. */
import { z } from 'zod'
import type { KindName } from '../model/request.ts'
import type { SettingUnit } from './units.ts'

/** The levels of the settings tree. */
export type BranchLevel = 'root' | 'kind' | 'team' | 'teamKind' | 'queue'

export interface SettingMeta {
  readonly unit: SettingUnit
  readonly description: string
  /** Levels of the tree on which the setting may be set. */
  readonly levels: readonly BranchLevel[]
  readonly minimum?: number
  readonly maximum?: number
  /** Defaults by kind of work that differ from the general default. */
  readonly kindDefaults?: Readonly<Partial<Record<KindName, number | boolean>>>
  /** Meaning of an unset value, for settings without a default. */
  readonly unsetMeaning?: string
}

export interface NumberRange {
  readonly minimum: number
  readonly maximum: number
}

type NumberMeta = SettingMeta & NumberRange

function boundedNumber (meta: NumberMeta): z.ZodNumber {
  const number = meta.unit === 'weight' || meta.unit === 'percent' ? z.number() : z.int()
  return number.min(meta.minimum).max(meta.maximum) as z.ZodNumber
}

/** A number with a default. */
export function numberSetting (defaultValue: number, meta: NumberMeta): z.ZodDefault<z.ZodNumber> {
  return boundedNumber(meta).default(defaultValue).meta({ ...meta })
}

/** A number that may be unset. */
export function optionalNumber (meta: NumberMeta): z.ZodOptional<z.ZodNumber> {
  return boundedNumber(meta).optional().meta({ ...meta })
}

/** A boolean, written `true` or `false`. */
export function flagSetting (defaultValue: boolean, meta: Omit<SettingMeta, 'unit'>): z.ZodDefault<z.ZodBoolean> {
  return z.boolean().default(defaultValue).meta({ ...meta, unit: 'flag' })
}

/** The name of a team. */
export function optionalName (meta: Omit<SettingMeta, 'unit'>): z.ZodOptional<z.ZodString> {
  return z.string().regex(NAME_PATTERN).optional().meta({ ...meta, unit: 'name' })
}

/** Names of teams, queues, instances and data centres. Dots are not allowed, since they separate sections in INI files. */
export const NAME_PATTERN = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/

export const NAME_RULE = 'use 1 to 63 lower-case letters, digits and hyphens, starting and ending with a letter or digit'
