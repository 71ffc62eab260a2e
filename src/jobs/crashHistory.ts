/** What the crashes of targets under the runs of a task show about it. */

/**
 * How a run was involved when its target crashed. `cleared`: it had been at work there for long, so it is not the cause.
 * `shared`: runs of other jobs, or a crash of other targets at the same time, may explain it as well. `suspected`: the
 * same, but the run was among the last that were started there. `lone`: nothing else explains it.
 */
export const CRASH_EVIDENCE = ['cleared', 'shared', 'suspected', 'lone'] as const
export type CrashEvidence = typeof CRASH_EVIDENCE[number]

export interface CrashHistory {
  /** Number of targets that crashed under a run. */
  readonly crashes: number
  /** Identities of the targets that crashed. */
  readonly targets: readonly string[]
  /** Those with a crash that nothing else explains; one that crashes again may be to blame itself, and counts once. */
  readonly loneTargets: readonly string[]
  readonly suspected: boolean
  /** Highest attempt under which a target crashed. */
  readonly lastAttempt: number
}

export const NO_CRASHES: CrashHistory = { crashes: 0, targets: [], loneTargets: [], suspected: false, lastAttempt: 0 }

/** From this number of crashes on, only runs without others on the target can tell whether the task is the cause. */
const CRASHES_BEFORE_ISOLATION = 2
const LONE_TARGETS_OF_CULPRIT = 2
/** Users allow five: two starts after the third crash. The last one needs a lone crash as well. */
const MAX_CRASHES = 5

/**
 * Adds the crash of a target; returns the same history if the crash is known.
 *
 * @example
 * recordCrash(NO_CRASHES, 1, 'suspected', 'worker-1') // { crashes: 1, targets: ['worker-1'], loneTargets: [], suspected: true, lastAttempt: 1 }
 */
export function recordCrash (history: CrashHistory, attempt: number, evidence: CrashEvidence, target: string): CrashHistory {
  if (attempt <= history.lastAttempt) return history
  if (evidence === 'cleared') return { ...NO_CRASHES, lastAttempt: attempt }
  return {
    crashes: history.crashes + 1,
    targets: [...new Set([...history.targets, target])],
    loneTargets: evidence === 'lone' ? [...new Set([...history.loneTargets, target])] : history.loneTargets,
    suspected: history.suspected || evidence !== 'shared',
    lastAttempt: attempt
  }
}

/** Whether the next run must have its target to itself, so that a further crash shows who caused it. */
export function requiresIsolation ({ crashes, suspected }: CrashHistory): boolean {
  return suspected || crashes >= CRASHES_BEFORE_ISOLATION
}

/** Whether the task's own runs show that it crashes the targets that start it. */
export function isCulprit ({ crashes, loneTargets }: CrashHistory): boolean {
  return loneTargets.length >= LONE_TARGETS_OF_CULPRIT || (loneTargets.length > 0 && crashes >= MAX_CRASHES)
}
