/** The service that says which targets a queue's policy allows for a step. */

export interface AdviceQuestion {
  readonly step: string
  readonly targets: readonly string[]
  /** How long the service is expected to need. */
  readonly expectedMs: number
}

export interface AllowedTarget {
  readonly target: string
  readonly ticket: string
}

export interface PlacementAdvisor {
  /** Rejects if the service is busy or does not answer in time. */
  ask (question: AdviceQuestion): Promise<readonly AllowedTarget[]>
}
