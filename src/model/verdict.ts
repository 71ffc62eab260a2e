/** Whether a request may have run: the part of every refusal and failure that callers rely on. */

export type Verdict = 'not-run' | 'may-have-run' | 'ran'

const SEVERITY: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/**
 * Combines the verdicts of several attempts at one request into the most cautious.
 *
 * @example
 * combineVerdicts(['not-run', 'may-have-run']) // 'may-have-run'
 */
export function combineVerdicts (verdicts: readonly Verdict[]): Verdict {
  return verdicts.reduce<Verdict>((worst, verdict) => SEVERITY[verdict] > SEVERITY[worst] ? verdict : worst, 'not-run')
}
