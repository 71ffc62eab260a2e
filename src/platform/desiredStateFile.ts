/** Reads a file that contains a desired state: types, unknown fields, and the places of findings in the file. */
import { z } from 'zod'
import type { CheckedState, EntryKind, Finding, Place } from '../jobs/check/finding.ts'
import { editDistance } from '../settings/editDistance.ts'
import { decodeDesiredState, desiredStateSchema } from './desiredState.ts'
import { findSyntaxProblem, formatPosition } from './jsonSyntax.ts'

/** Path of a field in the file, in the platform's names. */
export type WirePath = ReadonlyArray<string | number>

export type FileFinding = Finding<WirePath>

type JsonObject = Readonly<Record<string, unknown>>

/** Sections with a list of named entries. */
const SECTIONS: Readonly<Record<EntryKind, string>> = { queue: 'routes', service: 'services', team: 'tenants' }

const WIRE_FIELDS: Readonly<Record<string, string>> = {
  maximumBodyBytes: 'limits.max_body_bytes',
  pathPrefix: 'prefix',
  maximumFailures: 'max_attempts',
  stretchFactor: 'stretch_factor',
  latencyObjectiveMs: 'target_latency_ms',
  timeoutMs: 'timeout_ms',
  'advice.decisionMs': 'recommendation.decision_ms',
  'advice.perTargetMs': 'recommendation.period_ms',
  'advice.ticketValidityMs': 'recommendation.validity_ms',
  'cap.processors': 'cap.cpu',
  'cap.memory': 'cap.mem_mb',
  'cap.accelerators': 'cap.gpu'
}

/** Fields that the platform defines and instances do not read, by the path of the object that has them. */
const UNREAD_FIELDS: Readonly<Record<string, readonly string[]>> = {
  routes: ['kind', 'allowed_regions'],
  services: ['health_path', 'max_conns', 'protocol', 'tls', 'admission_control', 'cold_start_s', 'cold_per_s'],
  limits: ['max_header_bytes', 'header_timeout_ms', 'idle_timeout_ms'],
  tenants: ['priority', 'rate_per_s', 'burst']
}

/** Maximum edit distance at which an unknown field is treated as a misspelling. */
const MAX_SPELLING_DISTANCE = 2

/** Longest field name shown in full: an unknown one may be a misplaced key. All known names are shorter. */
const MAX_SHOWN_NAME_LENGTH = 24

export interface DesiredStateFile {
  /** Problems of syntax and types, and unknown fields. */
  readonly findings: readonly FileFinding[]
  /** The parsed file; undefined if it is not a JSON object. */
  readonly document?: JsonObject
  /** Without the entries of wrong types; undefined if the file is not a JSON object. */
  readonly state?: CheckedState
  /** Whether `state` has everything that the file has. Instances ignore a state for which this is false. */
  readonly complete: boolean
  /** Translates a place in `state` into a path in the file. */
  readonly locate: (place: Place) => WirePath
}

function isObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function createUnreadableFile (code: string, message: string): DesiredStateFile {
  return { findings: [{ severity: 'error', code, place: [], message }], complete: false, locate: () => [] }
}

/** Returns the name of a type as it appears in messages. Values are not shown, since they may be keys. */
function describeType (value: unknown): string {
  if (value === undefined) return 'missing'
  if (value === null) return 'null'
  if (Array.isArray(value)) return 'an array'
  if (typeof value === 'object') return 'an object'
  return typeof value === 'number' && !Number.isFinite(value) ? 'too large a number' : `a ${typeof value}`
}

function valueAt (document: unknown, path: WirePath): unknown {
  return path.reduce<unknown>((value, step) => typeof value === 'object' && value !== null && Object.hasOwn(value, step) ? (value as Record<string | number, unknown>)[step] : undefined, document)
}

function describeTypeIssue (issue: z.core.$ZodIssue, document: JsonObject): FileFinding {
  const path = issue.path as WirePath
  const value = valueAt(document, path)
  const message = issue.code === 'invalid_type'
    ? `the value is ${describeType(value)}; expected ${issue.expected === 'array' || issue.expected === 'object' ? 'an' : 'a'} ${issue.expected}`
    : issue.code === 'too_small' ? `the value is ${String(value)}; expected at least ${issue.minimum}` : 'the value is invalid'
  return { severity: 'error', code: 'type', place: path, message: `${message}. Instances ignore the whole state` }
}

function unwrap (schema: unknown): unknown {
  return schema instanceof z.ZodDefault || schema instanceof z.ZodOptional || schema instanceof z.ZodNullable ? unwrap(schema.unwrap()) : schema
}

function describeUnknownField (name: string, known: readonly string[]): string {
  const [nearest] = known.map(candidate => ({ candidate, distance: editDistance(name.slice(0, 64), candidate) })).sort((left, right) => left.distance - right.distance)
  const hint = nearest !== undefined && nearest.distance <= MAX_SPELLING_DISTANCE ? `did you mean ${nearest.candidate}?` : `expected one of ${known.join(', ')}`
  return `the field is unknown and ignored; ${hint}`
}

/** Finds the fields that decoding ignores. */
function findUnknownFields (schema: unknown, value: unknown, path: WirePath): readonly FileFinding[] {
  const inner = unwrap(schema)
  if (inner instanceof z.ZodArray && Array.isArray(value)) return value.flatMap((element, index) => findUnknownFields(inner.element, element, [...path, index]))
  if (!(inner instanceof z.ZodObject) || !isObject(value)) return []
  const shape = inner.shape as Readonly<Record<string, unknown>>
  return Object.keys(value).flatMap(name => {
    const place = [...path, name]
    if (Object.hasOwn(shape, name)) return findUnknownFields(shape[name], value[name], place)
    if (UNREAD_FIELDS[path.filter(step => typeof step === 'string').join('.')]?.includes(name) === true) return []
    return [{ severity: 'warning', code: 'unknown-field', place, message: describeUnknownField(name, Object.keys(shape)) }]
  })
}

interface ValidPart {
  readonly document: JsonObject
  /** Positions in the file of the entries that are left, by section. */
  readonly positions: Readonly<Record<string, readonly number[]>>
}

/** Leaves out entries that contain an issue, so that the others can be checked. Defaults replace other invalid fields. */
function selectValidPart (document: JsonObject, issues: readonly z.core.$ZodIssue[]): ValidPart {
  const invalid = new Set(issues.flatMap(({ path }) => [path.slice(0, 1).join('.'), path.slice(0, 2).join('.')]))
  const rest: Record<string, unknown> = { ...document }
  const positions: Record<string, readonly number[]> = {}
  for (const section of Object.values(SECTIONS)) {
    const entries = document[section]
    if (!Array.isArray(entries)) {
      delete rest[section]
      continue
    }
    const valid = [...entries.keys()].filter(index => !invalid.has(`${section}.${index}`))
    positions[section] = valid
    rest[section] = valid.map(index => entries[index] as unknown)
  }
  if (invalid.has('limits')) delete rest['limits']
  // Required; the version of an incomplete state is not compared with another one.
  if (invalid.has('version')) rest['version'] = 1
  return { document: rest, positions }
}

/**
 * Parses the bytes of a desired state as far as they are valid. The decoder of the instances accepts or ignores the whole
 * text; the check continues after errors, so that all are listed.
 */
export function readDesiredStateFile (bytes: Uint8Array): DesiredStateFile {
  let text: string
  try {
    // Instances do not accept a byte order mark, so that it stays in the text.
    text = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes)
  } catch {
    return createUnreadableFile('encoding', 'the file is not UTF-8; expected JSON in UTF-8')
  }
  const problem = findSyntaxProblem(text)
  if (problem !== undefined) return createUnreadableFile('syntax', `the file is not JSON: ${formatPosition(text, problem.offset)}: ${problem.offset >= text.length ? 'the text ends; ' : ''}expected ${problem.expected}`)
  const document: unknown = JSON.parse(text)
  if (!isObject(document)) return createUnreadableFile('type', `${formatPosition(text, text.search(/\S/))}: the file contains ${describeType(document)}; expected an object`)
  const issues = desiredStateSchema.safeParse(document).error?.issues ?? []
  const valid = selectValidPart(document, issues)
  const parsed = desiredStateSchema.parse(valid.document)
  return {
    findings: [...issues.map(issue => describeTypeIssue(issue, document)), ...findUnknownFields(desiredStateSchema, document, [])],
    document,
    state: { ...decodeDesiredState(parsed), listedServices: parsed.services },
    complete: issues.length === 0,
    locate: place => locate(place, valid.positions)
  }
}

function locate ({ entry, field }: Place, positions: ValidPart['positions']): WirePath {
  const steps = field.startsWith('keys') ? field.replace('keys', 'api_keys') : WIRE_FIELDS[field] ?? field
  const path = steps.split('.').map(step => /^\d+$/.test(step) ? Number(step) : step)
  if (entry === undefined) return path
  const section = SECTIONS[entry.kind]
  return [section, positions[section]?.[entry.index] ?? entry.index, ...path]
}

/**
 * Adds the platform's names to the first mention of the fields in a message.
 *
 * @example
 * addWireNames('below latencyObjectiveMs', ['latencyObjectiveMs']) // 'below latencyObjectiveMs (target_latency_ms)'
 */
export function addWireNames (message: string, fields: readonly string[]): string {
  return fields.reduce((text, field) => text.replace(field, `${field} (${WIRE_FIELDS[field] ?? field})`), message)
}

function formatStep (step: string | number, depth: number): string {
  if (typeof step === 'number') return `[${step}]`
  const name = step.length > MAX_SHOWN_NAME_LENGTH ? `${step.slice(0, MAX_SHOWN_NAME_LENGTH)}...` : step
  return /^[A-Za-z_]\w*$/.test(name) ? `${depth === 0 ? '' : '.'}${name}` : `[${JSON.stringify(name)}]`
}

/**
 * Formats a path, with the name of the entry that it belongs to.
 *
 * @example
 * formatPlace(document, ['routes', 0, 'timeout_ms']) // 'queue "stock-batch" (routes[0].timeout_ms)'
 */
export function formatPlace (document: JsonObject | undefined, path: WirePath): string {
  if (path.length === 0) return 'file'
  const [section, index] = path
  const text = path.map(formatStep).join('')
  const kind = (Object.keys(SECTIONS) as EntryKind[]).find(each => SECTIONS[each] === section)
  if (kind === undefined || typeof index !== 'number') return text
  const name = valueAt(document, [section as string, index, 'name'])
  return `${kind}${typeof name === 'string' ? ` ${JSON.stringify(name)}` : ''} (${text})`
}

/** Compares two paths by their position in the file; a field that the file does not have follows those that it has. */
export function compareByFile (document: JsonObject | undefined, left: WirePath, right: WirePath): number {
  const depth = left.findIndex((step, index) => step !== right[index])
  if (depth < 0 || depth >= right.length) return left.length - right.length
  const parent = valueAt(document, left.slice(0, depth))
  const fields = isObject(parent) ? Object.keys(parent) : []
  const position = (step: string | number | undefined): number => {
    if (typeof step === 'number') return step
    const index = fields.indexOf(step ?? '')
    return index < 0 ? fields.length : index
  }
  return position(left[depth]) - position(right[depth])
}
