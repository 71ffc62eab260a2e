/** Strict INI reader: the `ini` library parses the values, a line scan provides line numbers and validates the structure. */
import { parse } from 'ini'
import { InputError } from '../model/errors.ts'

/** A problem in a file, with a hint on how to correct it. */
export interface FileProblem {
  readonly line: number
  readonly problem: string
  readonly hint: string
}

export interface IniEntry {
  /** Name of the section; empty before the first section. */
  readonly section: string
  readonly name: string
  readonly text: string
  /** The value exactly as written in the file, with quotes and comments. */
  readonly raw: string
  readonly line: number
}

export interface IniScan {
  readonly entries: readonly IniEntry[]
  readonly sections: ReadonlyMap<string, number>
  readonly problems: readonly FileProblem[]
}

const MAX_FILE_BYTES = 1_048_576
/** Maximum number of problems listed in an error; further ones are only counted. */
const MAX_LISTED_PROBLEMS = 20

const SECTION = /^\[([A-Za-z0-9/-]+)\]$/
const ASSIGNMENT = /^([A-Za-z][A-Za-z0-9]*)\s*=(.*)$/
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTER = /[\u0000-\u0008\u000b\u000c\u000e-\u001f\u007f]/

type RawEntry = Omit<IniEntry, 'text'>

class LineScanner {
  readonly entries: RawEntry[] = []
  readonly sections = new Map<string, number>()
  readonly problems: FileProblem[] = []
  readonly #assignmentLines = new Map<string, number>()
  #section = ''

  scan (content: string, line: number): void {
    if (CONTROL_CHARACTER.test(content)) return this.#report(line, 'the line contains a control character', 'save the file as plain UTF-8 text')
    if (content === '' || content.startsWith(';') || content.startsWith('#')) return
    if (content.startsWith('[')) this.#scanSection(content, line)
    else this.#scanAssignment(content, line)
  }

  #scanSection (content: string, line: number): void {
    const name = SECTION.exec(content)?.[1]
    if (name === undefined) return this.#report(line, `"${content.slice(0, 80)}" is not a section`, 'write [/teams/TEAM], with comments on separate lines')
    this.#section = name
    const first = this.sections.get(name)
    if (first !== undefined) this.#report(line, `section [${name}] is a duplicate of line ${first}`, 'keep one section for each branch')
    else this.sections.set(name, line)
  }

  #scanAssignment (content: string, line: number): void {
    const match = ASSIGNMENT.exec(content)
    if (match === null) return this.#report(line, 'the line is neither a section, a comment nor NAME = VALUE', 'write NAME = VALUE')
    const [, name = '', raw = ''] = match
    const identity = `${this.#section} ${name}`
    const first = this.#assignmentLines.get(identity)
    if (first !== undefined) return this.#report(line, `${name} is a duplicate of line ${first}`, 'set each name once in a section')
    this.#assignmentLines.set(identity, line)
    this.entries.push({ section: this.#section, name, raw: raw.trim(), line })
  }

  #report (line: number, problem: string, hint: string): void {
    this.problems.push({ line, problem, hint })
  }
}

function toText (value: unknown, raw: string): string {
  if (typeof value === 'string') return value
  return value === null || typeof value === 'boolean' ? String(value) : raw
}

/** Reads sections and assignments. The caller validates their names. */
export function scanIni (bytes: Uint8Array): IniScan {
  const empty = { entries: [], sections: new Map<string, number>() }
  if (bytes.byteLength > MAX_FILE_BYTES) {
    return { ...empty, problems: [{ line: 1, problem: `the file has ${bytes.byteLength} bytes`, hint: `use at most ${MAX_FILE_BYTES} bytes` }] }
  }
  let text: string
  try {
    text = new TextDecoder('utf-8', { fatal: true }).decode(bytes)
  } catch {
    return { ...empty, problems: [{ line: findInvalidLine(bytes), problem: 'the file is not UTF-8', hint: 'save it as UTF-8' }] }
  }
  const lines = text.split(/\r\n|\n|\r/)
  const scanner = new LineScanner()
  lines.forEach((content, index) => scanner.scan(content.trim(), index + 1))
  if (lines.at(-1) !== '') {
    scanner.problems.push({ line: lines.length, problem: 'the last line has no newline, so the file may be truncated', hint: 'check that the file is complete and end its last line with a newline' })
  }
  if (scanner.problems.length > 0) return { ...empty, problems: scanner.problems }
  return { entries: readValues(text, scanner.entries), sections: scanner.sections, problems: [] }
}

function readValues (text: string, entries: readonly RawEntry[]): readonly IniEntry[] {
  const document: Record<string, unknown> = parse(text)
  return entries.map(entry => {
    const holder = entry.section === '' ? document : document[entry.section] as Record<string, unknown> | undefined
    return { ...entry, text: toText(holder?.[entry.name], entry.raw) }
  })
}

function findInvalidLine (bytes: Uint8Array): number {
  const decoder = new TextDecoder('utf-8', { fatal: true })
  let line = 1
  for (let start = 0; start < bytes.length; line++) {
    const newline = bytes.indexOf(0x0a, start)
    const end = newline === -1 ? bytes.length : newline + 1
    try {
      decoder.decode(bytes.subarray(start, end))
    } catch {
      return line
    }
    start = end
  }
  return line
}

/** Rejects a file by throwing an `InputError` that lists the problems by line. */
export function refuseFile (file: string, problems: readonly FileProblem[]): never {
  const listed = [...problems].sort((left, right) => left.line - right.line)
    .slice(0, MAX_LISTED_PROBLEMS)
    .map(({ line, problem, hint }) => `${file}:${line}: ${problem}; ${hint}`)
  const more = problems.length - listed.length
  if (more > 0) listed.push(`and ${more} more`)
  throw new InputError(listed.join('\n'))
}
