/** Prints the result of a check of a desired state. */
import type { Change } from '../jobs/check/desiredStateDiff.ts'
import type { Severity } from '../jobs/check/finding.ts'
import type { CheckReport } from '../platform/desiredStateCheck.ts'

const CALLERS_NOTICE_MARK = ' [callers notice]'

function formatFieldValue (value: Change['before']): string {
  return value === undefined ? 'none' : JSON.stringify(value)
}

function formatChangePlace ({ entry }: Change): string {
  return entry === undefined ? '' : `${entry.kind} ${JSON.stringify(entry.name)} `
}

function formatAction ({ action, field, before, after, key }: Change): string {
  if (field !== undefined) return `${field}: ${formatFieldValue(before)} -> ${formatFieldValue(after)}`
  return key === undefined ? action : `${action}: ${key}`
}

function count (number: number, noun: string): string {
  return `${number} ${noun}${number === 1 ? '' : 's'}`
}

function countSeverity ({ findings }: CheckReport, severity: Severity): number {
  return findings.filter(finding => finding.severity === severity).length
}

function summarize (file: string, report: CheckReport, valid: boolean): string {
  const { changes } = report
  const noticed = changes?.filter(({ callersNotice }) => callersNotice).length ?? 0
  const summary = [count(countSeverity(report, 'error'), 'error'), count(countSeverity(report, 'warning'), 'warning'), ...(changes === undefined ? [] : [`${count(changes.length, 'change')}${noticed === 0 ? '' : `, of which callers notice ${noticed}`}`])]
  return `${file} is ${valid ? 'valid' : 'not valid'}: ${summary.join(', ')}.`
}

/** Whether the file may be written: it has no errors and, if the check is strict, no warnings. */
export function isAcceptable (report: CheckReport, strict: boolean): boolean {
  return countSeverity(report, 'error') === 0 && (!strict || countSeverity(report, 'warning') === 0)
}

/** Formats one line for each finding and each change, and a summary. */
export function formatReport (file: string, report: CheckReport, valid: boolean): string {
  return [
    ...report.findings.map(({ severity, place, message }) => `${severity} ${place}: ${message}`),
    ...(report.changes ?? []).map(change => `change ${formatChangePlace(change)}${formatAction(change)}${change.callersNotice ? CALLERS_NOTICE_MARK : ''}`),
    summarize(file, report, valid)
  ].join('\n')
}

/** Formats the report as one JSON object. */
export function formatReportAsJson ({ findings, changes = [] }: CheckReport, valid: boolean): string {
  const describedChanges = changes.map(({ entry, ...change }) => ({ place: formatChangePlace({ entry, ...change }).trimEnd() || 'file', ...change }))
  return JSON.stringify({ valid, findings, changes: describedChanges }, null, 2)
}
