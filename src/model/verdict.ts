/** States whether a request may have run. Every refusal and failure carries a verdict, and callers rely on it to decide whether to retry. */

export type Verdict = 'not-run' | 'may-have-run' | 'ran'

const SEVERITY: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/**
 * Combines the verdicts of several attempts at one request into the most cautious one, so that a request that may have
 * run is never reported as not run.
 *
 * @example
 * combineVerdicts(['not-run', 'may-have-run']) // 'may-have-run'
 */
export function combineVerdicts (verdicts: readonly Verdict[]): Verdict {
  return verdicts.reduce<Verdict>((worst, verdict) => SEVERITY[verdict] > SEVERITY[worst] ? verdict : worst, 'not-run')
}
