/** Checks a desired state before it is written, and compares it with the version in force. */
import { diffDesiredStates } from '../jobs/check/desiredStateDiff.ts'
import type { Change } from '../jobs/check/desiredStateDiff.ts'
import { findContradictoryLimits, findIdentityErrors, findUnmatchedQueues, findUnusedEntries, findValueErrors, findVersionError } from '../jobs/check/desiredStateFindings.ts'
import type { CheckedState, Finding } from '../jobs/check/finding.ts'
import { addWireNames, compareByFile, formatPlace, readDesiredStateFile } from './desiredStateFile.ts'
import type { DesiredStateFile, FileFinding } from './desiredStateFile.ts'

export interface InForceFile {
  readonly file: string
  readonly bytes: Uint8Array
}

export interface CheckReport {
  /** In the order of the file. */
  readonly findings: ReadonlyArray<Finding<string>>
  /** Undefined if there is nothing to compare, or if one of the files is invalid. */
  readonly changes?: readonly Change[]
}

/** Findings that hold also if some entries were left out. */
function findInEntries (state: CheckedState): readonly Finding[] {
  return [...findIdentityErrors(state), ...findValueErrors(state), ...findUnmatchedQueues(state), ...findContradictoryLimits(state)]
}

function checkContent ({ state, complete, locate }: DesiredStateFile, inForce: CheckedState | undefined): readonly FileFinding[] {
  if (state === undefined) return []
  const findings = [
    ...findInEntries(state),
    ...(complete ? findUnusedEntries(state) : []),
    ...(complete && inForce !== undefined ? findVersionError(state, inForce.version) : [])
  ].map(({ related = [], message, place, ...finding }) => ({ ...finding, place: locate(place), message: addWireNames(message, related) }))
  if (complete) return findings
  return [{ severity: 'warning', code: 'incomplete-check', place: [], message: 'references between entries, the version in force and differences were not checked; they are once all fields have the expected types' }, ...findings]
}

/** Errors that make instances ignore the text. Other findings about the version in force are of no use to its successor. */
function describeInForceErrors ({ findings, document }: DesiredStateFile, file: string): ReadonlyArray<Finding<string>> {
  return findings.filter(({ severity }) => severity === 'error')
    .map(({ place, message }) => ({ severity: 'error', code: 'invalid-version-in-force', place: `file ${JSON.stringify(file)}`, message: `the version in force is invalid: ${place.length === 0 ? '' : `${formatPlace(document, place)}: `}${message}` }))
}

/**
 * Lists all findings, and the changes from the version in force.
 *
 * @example
 * checkDesiredState(await readFile('next.json'), { file: 'in-force.json', bytes: await readFile('in-force.json') }).findings
 */
export function checkDesiredState (bytes: Uint8Array, against?: InForceFile): CheckReport {
  const file = readDesiredStateFile(bytes)
  const inForceFile = against === undefined ? undefined : readDesiredStateFile(against.bytes)
  const inForce = inForceFile?.complete === true ? inForceFile.state : undefined
  const findings = [...file.findings, ...checkContent(file, inForce)]
    .sort((left, right) => compareByFile(file.document, left.place, right.place))
    .map(finding => ({ ...finding, place: formatPlace(file.document, finding.place) }))
  return {
    findings: against === undefined || inForceFile === undefined ? findings : [...findings, ...describeInForceErrors(inForceFile, against.file)],
    ...(inForce === undefined || file.state === undefined || !file.complete ? {} : { changes: diffDesiredStates(inForce, file.state) })
  }
}
