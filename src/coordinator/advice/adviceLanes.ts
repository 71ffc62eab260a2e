/** Distributes placement advisor requests over the instances, since the advisor serves those of one instance serially. */
import { BaseError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../../ports/placementAdvisor.ts'

/** Questions expected to take longer than these are kept off the first lanes, so that short ones never wait behind them. */
const LONG_QUESTION_MS = 250
const MEDIUM_QUESTION_MS = 40
/** Number of lanes kept free of long questions, and of medium ones, if there are more lanes than that. */
const LANES_WITHOUT_LONG = 2
const LANES_WITHOUT_MEDIUM = 1
/** Maximum expected work queued in one lane: allows a second short question in transit while the first is served. */
const MAX_LANE_BACKLOG_MS = 60
/** Time for which a failed lane is not used. */
const LANE_BACKOFF_MS = 1_000

interface QueuedQuestion {
  readonly question: AdviceQuestion
  readonly rank: number
  readonly resolve: (allowed: readonly AllowedTarget[]) => void
  readonly reject: (error: unknown) => void
}

export interface LaneDescription {
  readonly name: string
  readonly advisor: PlacementAdvisor
  /** Relative share of the questions that the lane gets when several lanes are idle. */
  readonly weight: number
}

interface Lane {
  readonly name: string
  /** Of the last description, since an instance may be replaced at another address. */
  advisor: PlacementAdvisor
  weight: number
  /** Questions asked so far divided by the weight; a lane added later starts at the minimum of the others. */
  askedPerWeight: number
  /** Outstanding questions, and their total expected time. */
  questions: number
  backlogMs: number
  backoffUntilMs: number
}

/**
 * Asks each question through the lane with the smallest backlog. A lane is one instance that forwards questions to the
 * advisor. Idle lanes take turns in proportion to their weights, so that small instances keep their processors for
 * their callers.
 *
 * @example
 * lanes.setLanes([{ name: 'entry-1', advisor: own, weight: 4 }, { name: 'entry-2', advisor: throughPeer, weight: 1 }])
 * const allowed = await lanes.ask(question, 0)
 */
export class AdviceLanes {
  readonly #clock: Clock
  #lanes: Lane[] = []
  #queue: QueuedQuestion[] = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  setLanes (lanes: readonly LaneDescription[]): void {
    const known = new Map(this.#lanes.map(lane => [lane.name, lane]))
    const minAskedPerWeight = this.#lanes.length === 0 ? 0 : Math.min(...this.#lanes.map(({ askedPerWeight }) => askedPerWeight))
    this.#lanes = lanes.map(({ name, advisor, weight }) => {
      const lane = known.get(name)
      if (lane === undefined) return { name, advisor, weight, askedPerWeight: minAskedPerWeight, questions: 0, backlogMs: 0, backoffUntilMs: 0 }
      lane.advisor = advisor
      lane.weight = weight
      return lane
    })
    this.#dispatch()
  }

  /** Number of lanes that would ask a long question at once. */
  get idleForLongQuestions (): number {
    if (this.#queue.length > 0) return 0
    const nowMs = this.#clock.monotonicMs()
    return this.#eligibleLanes(Infinity).filter(lane => lane.questions === 0 && lane.backoffUntilMs <= nowMs).length
  }

  /** Questions with a lower rank are asked first. */
  ask (question: AdviceQuestion, rank: number): Promise<readonly AllowedTarget[]> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ question, rank, resolve, reject })
      this.#queue.sort((left, right) => left.rank - right.rank)
      this.#dispatch()
    })
  }

  close (): void {
    for (const waiting of this.#queue) waiting.reject(new BaseError('the term has ended'))
    this.#queue = []
  }

  #dispatch (): void {
    const kept: QueuedQuestion[] = []
    for (const waiting of this.#queue) {
      const lane = this.#chooseLane(waiting.question.expectedMs)
      if (lane === undefined) kept.push(waiting)
      else this.#askThrough(lane, waiting).catch(waiting.reject)
    }
    this.#queue = kept
  }

  #chooseLane (expectedMs: number): Lane | undefined {
    const nowMs = this.#clock.monotonicMs()
    let best: Lane | undefined
    for (const lane of this.#eligibleLanes(expectedMs)) {
      if (lane.backoffUntilMs > nowMs || lane.backlogMs > MAX_LANE_BACKLOG_MS) continue
      if (lane.questions > 0 && expectedMs > MEDIUM_QUESTION_MS) continue
      if (best === undefined || isPreferred(lane, best)) best = lane
    }
    return best
  }

  #eligibleLanes (expectedMs: number): readonly Lane[] {
    const reserved = expectedMs > LONG_QUESTION_MS ? LANES_WITHOUT_LONG : expectedMs > MEDIUM_QUESTION_MS ? LANES_WITHOUT_MEDIUM : 0
    return this.#lanes.slice(Math.min(reserved, this.#lanes.length - 1))
  }

  async #askThrough (lane: Lane, { question, resolve, reject }: QueuedQuestion): Promise<void> {
    lane.questions += 1
    lane.askedPerWeight += 1 / lane.weight
    lane.backlogMs += question.expectedMs
    try {
      resolve(await lane.advisor.ask(question))
    } catch (error) {
      lane.backoffUntilMs = this.#clock.monotonicMs() + LANE_BACKOFF_MS
      this.#clock.sleep(LANE_BACKOFF_MS).then(() => this.#dispatch(), () => {})
      reject(error)
    } finally {
      lane.questions -= 1
      // Floating-point sums may not return to exactly zero.
      lane.backlogMs = lane.questions === 0 ? 0 : lane.backlogMs - question.expectedMs
      this.#dispatch()
    }
  }
}

function isPreferred (left: Lane, right: Lane): boolean {
  return left.backlogMs !== right.backlogMs ? left.backlogMs < right.backlogMs : left.askedPerWeight < right.askedPerWeight
}
