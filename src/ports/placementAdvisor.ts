/** Interface to the service that decides which targets a queue's policy allows for a step. */

export interface AdviceQuestion {
  readonly step: string
  readonly targets: readonly string[]
  /** Expected response time of the service, in milliseconds. */
  readonly expectedMs: number
}

export interface AllowedTarget {
  readonly target: string
  readonly ticket: string
}

export interface PlacementAdvisor {
  /** Returns the allowed targets; rejects if the service is busy or does not answer in time. */
  ask (question: AdviceQuestion): Promise<readonly AllowedTarget[]>
}
