/** Reads the settings file of one instance. */
import { refuseFile, scanIni } from './iniScan.ts'
import type { IniEntry, FileProblem } from './iniScan.ts'
import { INSTANCE_FIELDS, LOG_LEVELS, MIN_SECRET_LENGTH } from './instanceFields.ts'
import type { InstanceField, InstanceFieldName } from './instanceFields.ts'
import { NAME_PATTERN, NAME_RULE } from './definition.ts'
import { formatQuantity, isQuantityUnit, parseQuantity } from './units.ts'
import type { ParseResult, QuantityUnit } from './units.ts'
import { suggestName } from './values.ts'

export type LogLevel = typeof LOG_LEVELS[number]

/** Settings that an instance needs before it can reach any other process. Addresses are HOST:PORT. */
export interface InstanceSettings {
  readonly name: string
  readonly dataCentre: string
  readonly region: string
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly peerAddress: string
  readonly storeAddress: string
  readonly listAddress: string
  /** Seed addresses for the first exchange. */
  readonly peers: readonly string[]
  readonly peerSecret: string
  readonly operatorToken: string
  readonly logLevel: LogLevel
  readonly bodyLimitBytes: number
  readonly connectionLimit: number
  readonly requestTimeoutMs: number
  /** Memory that callers can occupy with what is incomplete or unread. */
  readonly clientMemoryBytes: number
  readonly headerTimeoutMs: number
  readonly answerTimeoutMs: number
  readonly idleTimeoutMs: number
  readonly pipelinedRequests: number
  readonly connectTimeoutMs: number
  readonly storeTimeoutMs: number
  readonly listTimeoutMs: number
  readonly peerTimeoutMs: number
  readonly stopTimeoutMs: number
  readonly leaveDelayMs: number
}

type FieldValue = string | number | readonly string[]

const ADDRESS = /^(?:[A-Za-z0-9](?:[A-Za-z0-9.-]*[A-Za-z0-9])?|\[[0-9A-Fa-f:.]+\]):(\d{1,5})$/
const MAX_PORT = 65_535
const SECRET = new RegExp(`^[A-Za-z0-9+/=_.~-]{${MIN_SECRET_LENGTH},}$`)
const ADDRESS_RULE = 'write HOST:PORT, such as 10.0.0.5:7000 or [fd00::5]:7000'

/** Splits HOST:PORT; undefined if the text is not an address. */
export function parseAddress (text: string): { readonly host: string, readonly port: number } | undefined {
  const port = Number(ADDRESS.exec(text)?.[1] ?? NaN)
  if (!(port <= MAX_PORT)) return undefined
  return { host: text.slice(0, text.lastIndexOf(':')).replace(/^\[|\]$/g, ''), port }
}

function readAddresses (text: string): ParseResult<FieldValue> {
  const addresses = text.split(',').map(part => part.trim()).filter(part => part !== '')
  const wrong = addresses.find(address => parseAddress(address) === undefined)
  return wrong === undefined ? { value: addresses } : { problem: `"${wrong}" is not an address`, hint: `${ADDRESS_RULE}, separated by commas` }
}

function readNumber (field: InstanceField, unit: QuantityUnit, text: string): ParseResult<FieldValue> {
  const { name, minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = field
  const quantity = parseQuantity(text, unit)
  if (!('value' in quantity)) return quantity
  if (quantity.value >= minimum && quantity.value <= maximum) return quantity
  return { problem: `${name} = ${text} is out of range`, hint: `use ${formatQuantity(minimum, unit)} to ${formatQuantity(maximum, unit)}` }
}

/**
 * Rejects characters that INI interprets, such as `;`, `#`, quotes and backslashes, since the value would not be read as
 * written. The message never contains the secret.
 */
function readSecret (name: string, text: string): ParseResult<FieldValue> {
  if (SECRET.test(text)) return { value: text }
  return { problem: `${name} is too short or contains other characters`, hint: `use at least ${MIN_SECRET_LENGTH} random letters, digits and characters of + / = _ . ~ -` }
}

/** Parses a field. Messages never contain the text of a secret. */
function readField (field: InstanceField, text: string): ParseResult<FieldValue> {
  const { unit, name } = field
  if (isQuantityUnit(unit)) return readNumber(field, unit, text)
  switch (unit) {
    case 'name': return NAME_PATTERN.test(text) ? { value: text } : { problem: `${name} = "${text}" is not a name`, hint: NAME_RULE }
    case 'address': return parseAddress(text) !== undefined ? { value: text } : { problem: `${name} = "${text}" is not an address`, hint: ADDRESS_RULE }
    case 'addresses': return readAddresses(text)
    case 'secret': return readSecret(name, text)
    default: return (LOG_LEVELS as readonly string[]).includes(text) ? { value: text } : { problem: `${name} = "${text}" is not a level`, hint: `use one of ${LOG_LEVELS.join(', ')}` }
  }
}

function collectFields (entries: readonly IniEntry[], problems: FileProblem[]): ReadonlyMap<string, FieldValue> {
  const values = new Map<string, FieldValue>()
  for (const { section, name, text, raw, line } of entries) {
    const field = INSTANCE_FIELDS.find(candidate => candidate.name === name)
    if (section !== '' || field === undefined) {
      if (section === '') problems.push({ line, problem: `there is no setting "${name}"`, hint: suggestName(name, INSTANCE_FIELDS.map(known => known.name)) })
      continue
    }
    const value = readField(field, field.unit === 'secret' ? raw : text)
    if ('value' in value) values.set(name, value.value)
    else problems.push({ line, problem: value.problem, hint: value.hint })
  }
  return values
}

function parseDefault (field: InstanceField): FieldValue | undefined {
  if (field.defaultText === undefined) return undefined
  const value = readField(field, field.defaultText)
  return 'value' in value ? value.value : undefined
}

const OWN_ADDRESSES = ['callerAddress', 'operatorAddress', 'peerAddress'] as const

/** An instance cannot listen twice on the same address. */
function checkOwnAddresses (settings: InstanceSettings, entries: readonly IniEntry[]): readonly FileProblem[] {
  return OWN_ADDRESSES.flatMap((name, index) => {
    const other = OWN_ADDRESSES.slice(0, index).find(earlier => settings[earlier] !== undefined && settings[earlier] === settings[name])
    const line = entries.find(entry => entry.name === name)?.line ?? 1
    return other === undefined ? [] : [{ line, problem: `${name} is the same as ${other}`, hint: 'give each its own port' }]
  })
}

type GetField = <Value extends FieldValue>(name: InstanceFieldName) => Value

function assemble (getField: GetField): InstanceSettings {
  return {
    name: getField('name'),
    dataCentre: getField('dataCentre'),
    region: getField('region'),
    callerAddress: getField('callerAddress'),
    operatorAddress: getField('operatorAddress'),
    peerAddress: getField('peerAddress'),
    storeAddress: getField('storeAddress'),
    listAddress: getField('listAddress'),
    peers: getField('peers'),
    peerSecret: getField('peerSecret'),
    operatorToken: getField('operatorToken'),
    logLevel: getField('logLevel'),
    bodyLimitBytes: getField('bodyLimit'),
    connectionLimit: getField('connectionLimit'),
    requestTimeoutMs: getField('requestTimeout'),
    clientMemoryBytes: getField('clientMemory'),
    headerTimeoutMs: getField('headerTimeout'),
    answerTimeoutMs: getField('answerTimeout'),
    idleTimeoutMs: getField('idleTimeout'),
    pipelinedRequests: getField('pipelinedRequests'),
    connectTimeoutMs: getField('connectTimeout'),
    storeTimeoutMs: getField('storeTimeout'),
    listTimeoutMs: getField('listTimeout'),
    peerTimeoutMs: getField('peerTimeout'),
    stopTimeoutMs: getField('stopTimeout'),
    leaveDelayMs: getField('leaveDelay')
  }
}

/**
 * Reads the settings of one instance. Throws `InputError` with one line per problem.
 *
 * @example
 * const settings = readInstanceSettings('entry-1.ini', await readFile('entry-1.ini'))
 * settings.peerTimeoutMs // 1000
 */
export function readInstanceSettings (file: string, bytes: Uint8Array): InstanceSettings {
  const scan = scanIni(bytes)
  const problems = [...scan.problems]
  if (problems.length > 0) refuseFile(file, problems)
  for (const [section, line] of scan.sections) problems.push({ line, problem: `[${section}]: this file has no sections`, hint: 'put cluster settings into the file for `settings apply`' })
  const parsedFields = collectFields(scan.entries, problems)
  const givenNames = new Set(scan.entries.map(entry => entry.name))
  const getField: GetField = <Value extends FieldValue>(name: InstanceFieldName) => {
    const field: InstanceField | undefined = INSTANCE_FIELDS.find(candidate => candidate.name === name)
    const value = parsedFields.get(name) ?? (field === undefined ? undefined : parseDefault(field))
    if (value === undefined && !givenNames.has(name)) problems.push({ line: 1, problem: `${name} is missing`, hint: field?.description ?? '' })
    return value as Value
  }
  const settings = assemble(getField)
  problems.push(...checkOwnAddresses(settings, scan.entries))
  if (problems.length > 0) refuseFile(file, problems)
  return Object.freeze(settings)
}
