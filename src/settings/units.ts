/** Parsing and formatting of quantities with units. */

/** Kind of value that a setting holds; determines its notation and the unit in which it is stored. */
export type SettingUnit =
  | 'duration' | 'memory' | 'bytes' | 'rate' | 'processors' | 'percent' | 'count' | 'weight' | 'flag' | 'name'
  | 'address' | 'addresses' | 'secret' | 'level'

interface UnitDefinition {
  /** Suffixes with their factors relative to the stored unit, smallest first. */
  readonly suffixes: Readonly<Record<string, number>>
  /** An example of a valid value. */
  readonly example: string
  readonly storedUnit: string
}

const UNITS = {
  duration: { suffixes: { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 }, example: '5 s', storedUnit: 'milliseconds' },
  memory: { suffixes: { MB: 1, GB: 1_024, TB: 1_048_576 }, example: '64 GB', storedUnit: 'MB' },
  bytes: { suffixes: { B: 1, KB: 1_024, MB: 1_048_576, GB: 1_073_741_824 }, example: '64 MB', storedUnit: 'bytes' },
  rate: { suffixes: { 'B/s': 1, 'KB/s': 1_000, 'MB/s': 1_000_000 }, example: '250 KB/s', storedUnit: 'bytes per second' },
  processors: { suffixes: { millicores: 1, cores: 1_000 }, example: '32 cores', storedUnit: 'millicores' },
  percent: { suffixes: { '%': 0.01 }, example: '10 %', storedUnit: 'a fraction' },
  count: { suffixes: { '': 1 }, example: '40', storedUnit: 'a whole number' },
  weight: { suffixes: { '': 1 }, example: '2.5', storedUnit: 'a number' }
} as const satisfies Partial<Record<SettingUnit, UnitDefinition>>

export type QuantityUnit = keyof typeof UNITS

/** Alternative spellings that are accepted. */
const ALIASES: Readonly<Record<string, string>> = { core: 'cores', millicore: 'millicores' }

const QUANTITY = /^(\d{1,15}(?:\.\d{1,6})?)\s*([A-Za-z%/]*)$/

export function isQuantityUnit (unit: SettingUnit): unit is QuantityUnit {
  return Object.hasOwn(UNITS, unit)
}

/** Lists the suffixes of a unit, for error messages and the reference page. */
export function listSuffixes (unit: QuantityUnit): readonly string[] {
  return Object.keys(UNITS[unit].suffixes).filter(suffix => suffix !== '')
}

export function storedUnitName (unit: QuantityUnit): string {
  return UNITS[unit].storedUnit
}

export type ParseResult<Value> = { readonly value: Value } | { readonly problem: string, readonly hint: string }

/**
 * Parses a quantity with its unit and converts it to the stored unit.
 *
 * @example
 * parseQuantity('5 s', 'duration') // { value: 5000 }
 */
export function parseQuantity (text: string, unit: QuantityUnit): ParseResult<number> {
  const definition: UnitDefinition = UNITS[unit]
  const suffixes = listSuffixes(unit)
  const hint = suffixes.length === 0
    ? `write a number without a unit, such as ${definition.example}`
    : `write a number and one of ${suffixes.join(', ')}, such as ${definition.example}`
  const match = QUANTITY.exec(text.trim())
  if (match === null) return { problem: `"${text}" is not a number with a unit`, hint }
  const [, digits = '', written = ''] = match
  const suffix = Object.hasOwn(ALIASES, written) ? ALIASES[written] ?? written : written
  if (!Object.hasOwn(definition.suffixes, suffix)) {
    const problem = suffix === '' ? `"${text}" has no unit` : `"${suffix}" is not a unit of this setting`
    return { problem, hint }
  }
  const factor = definition.suffixes[suffix] ?? 1
  const value = Number(digits) * factor
  const kept = unit === 'weight' || unit === 'percent' ? Number(value.toPrecision(12)) : value
  if (unit !== 'weight' && unit !== 'percent' && !Number.isSafeInteger(kept)) {
    return { problem: `"${text}" is not a whole number of ${definition.storedUnit}`, hint: `write a multiple of the smallest unit, such as ${definition.example}` }
  }
  return { value: kept }
}

/**
 * Formats a stored value in the largest unit that needs no fraction.
 *
 * @example
 * formatQuantity(65_536, 'memory') // '64 GB'
 */
export function formatQuantity (value: number, unit: QuantityUnit): string {
  if (unit === 'percent') return `${Number((value * 100).toPrecision(10))} %`
  const descending = Object.entries(UNITS[unit].suffixes as Record<string, number>).reverse()
  const [suffix, factor] = descending.find(([, size]) => value !== 0 && value % size === 0) ?? descending.at(-1) ?? ['', 1]
  if (suffix === '') return String(value)
  const count = value / factor
  return `${count} ${count === 1 && suffix === 'cores' ? 'core' : suffix}`
}
