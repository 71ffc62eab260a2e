/** Time limits and intervals of target ownership; the safety of takeovers depends on them. */

/** Targets that support start-by times refuse to start a task later than this after it was sent. */
export const START_BY_WINDOW_MS = 2_000

/** Maximum tolerated difference between the wall clocks of two machines. */
export const CLOCK_SKEW_MS = 500

/** The task lease of 15 s plus 10% for clock drift. */
export const LONGEST_TASK_LEASE_MS = 16_500

/** The sender abandons a request to a target after this time. */
export const LONGEST_REQUEST_MS = 30_000

/** The assignment must name another owner for this long before a target is handed over, so that flapping instances cause no moves. */
export const HAND_OVER_DELAY_MS = 3_000

/** Timeout of the single watch that an instance keeps on the ownership record. */
export const WATCH_TIMEOUT_MS = 10_000

/** Delay before a failed call to the store or to a target is retried. */
export const RETRY_INTERVAL_MS = 500

/** Longest time between two reconciliations; conditions that depend on time or membership are checked this often. */
export const RECONCILE_INTERVAL_MS = 250

/** A member without targets must be suspected for this long before it is removed, because it may have just joined. */
export const IDLE_MEMBER_GRACE_MS = 10_000

/** Shortest time between two reconciliations. Without it, instances would react to each other's writes as fast as the store answers. */
export const SHORTEST_RECONCILE_INTERVAL_MS = 50

/**
 * Delay before a removed instance rejoins; doubles with each removal up to the longest delay. Without it, instances that
 * suspect each other while both can reach the store would keep taking over each other's targets.
 */
export const REJOIN_BACKOFF_MS = 1_000
export const LONGEST_REJOIN_BACKOFF_MS = 60_000
