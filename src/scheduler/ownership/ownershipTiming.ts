/** Times on which the safety of takeovers depends. */

/** A target refuses to start a task later than this after it was sent. */
export const START_BY_WINDOW_MS = 2_000

/** Allowed difference between the wall clocks of two machines. */
export const CLOCK_SKEW_MS = 500

/** Task lease of 15 s plus 10% for clock drift. */
export const LONGEST_TASK_LEASE_MS = 16_500

/** A request to a target is abandoned by its sender after this time. */
export const LONGEST_REQUEST_MS = 30_000

/** The plan must name another owner for this long before a target is handed over, so that flapping moves nothing. */
export const HAND_OVER_DELAY_MS = 3_000

/** Longest wait of the one watch that an instance keeps on the record. */
export const WATCH_TIMEOUT_MS = 10_000

/** Pause after a failed store or target call. */
export const RETRY_INTERVAL_MS = 500

/** Interval of the checks that depend on time or on membership. */
export const STEP_INTERVAL_MS = 250

/** A member without targets must be suspected for this long before it is removed; it may have only just joined. */
export const IDLE_MEMBER_GRACE_MS = 10_000

/** Shortest time between two steps, so that changes by several instances can't answer each other at the store's speed. */
export const SHORTEST_STEP_MS = 50

/**
 * Wait before an instance that was removed joins again; doubles with each removal.
 * Instances that suspect each other while both reach the store would otherwise take each other's targets without end.
 */
export const REJOIN_BACKOFF_MS = 1_000
export const LONGEST_REJOIN_BACKOFF_MS = 60_000
