/** Distributes placement advisor requests over the instances, since the advisor serves those of one instance serially. */
import { BaseError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../../ports/placementAdvisor.ts'

/** Questions expected to take longer than these are kept off the first lanes, so that short ones never wait behind them. */
const LONG_QUESTION_MS = 250
const MEDIUM_QUESTION_MS = 40
/** Number of lanes kept free of long questions, and of medium ones, if there are more lanes than that. */
const LANES_WITHOUT: Readonly<Record<QuestionLength, number>> = { long: 2, medium: 1, short: 0 }
/** Maximum expected work queued in one lane: allows a second short question in transit while the first is served. */
const MAX_LANE_BACKLOG_MS = 60
/** Time for which a failed lane is not used. */
const LANE_BACKOFF_MS = 1_000

type QuestionLength = 'long' | 'medium' | 'short'

/** The question was not asked, since its step has ended or has no waiting tasks any more. */
export const QuestionNotNeededError = BaseError.subclass('QuestionNotNeededError')

interface QueuedQuestion {
  readonly question: AdviceQuestion
  readonly rank: number
  readonly isNeeded: () => boolean
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
    return this.#eligibleLanes('long').filter(lane => lane.questions === 0 && lane.backoffUntilMs <= nowMs).length
  }

  /** Expected milliseconds until a question of the length and rank would be asked, behind those that wait or are being answered. */
  expectedWaitMs (expectedMs: number, rank: number): number {
    const lanes = this.#eligibleLanes(classifyLength(expectedMs))
    if (lanes.length === 0 || lanes.some(({ questions }) => questions === 0)) return 0
    const ahead = this.#queue.reduce((sum, queued) => sum + (queued.rank <= rank ? queued.question.expectedMs : 0), 0)
    return (ahead + lanes.reduce((sum, { backlogMs }) => sum + backlogMs, 0)) / lanes.length
  }

  /**
   * Questions with a lower rank are asked first. One that is not needed any more when its turn comes is not asked, and the
   * promise rejects with a `QuestionNotNeededError`.
   */
  ask (question: AdviceQuestion, rank: number, isNeeded: () => boolean = () => true): Promise<readonly AllowedTarget[]> {
    return new Promise((resolve, reject) => {
      const behind = this.#queue.findIndex(queued => queued.rank > rank)
      this.#queue.splice(behind === -1 ? this.#queue.length : behind, 0, { question, rank, isNeeded, resolve, reject })
      this.#dispatch()
    })
  }

  close (): void {
    for (const waiting of this.#queue) waiting.reject(new BaseError('the term has ended'))
    this.#queue = []
  }

  /** Lanes are chosen by the length of a question alone, so that one without a lane shows that none is free for its length. */
  #dispatch (): void {
    const kept: QueuedQuestion[] = []
    const withoutLane = new Set<QuestionLength>()
    for (const waiting of this.#queue) {
      const length = classifyLength(waiting.question.expectedMs)
      const lane = withoutLane.has(length) ? undefined : this.#chooseLane(length)
      if (lane === undefined) {
        withoutLane.add(length)
        kept.push(waiting)
      } else if (waiting.isNeeded()) {
        this.#askThrough(lane, waiting).catch(waiting.reject)
      } else {
        waiting.reject(new QuestionNotNeededError('the question is not needed any more'))
      }
    }
    this.#queue = kept
  }

  #chooseLane (length: QuestionLength): Lane | undefined {
    const nowMs = this.#clock.monotonicMs()
    let best: Lane | undefined
    for (const lane of this.#eligibleLanes(length)) {
      if (lane.backoffUntilMs > nowMs || lane.backlogMs > MAX_LANE_BACKLOG_MS) continue
      if (lane.questions > 0 && length !== 'short') continue
      if (best === undefined || isPreferred(lane, best)) best = lane
    }
    return best
  }

  #eligibleLanes (length: QuestionLength): readonly Lane[] {
    return this.#lanes.slice(Math.min(LANES_WITHOUT[length], this.#lanes.length - 1))
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

function classifyLength (expectedMs: number): QuestionLength {
  return expectedMs > LONG_QUESTION_MS ? 'long' : expectedMs > MEDIUM_QUESTION_MS ? 'medium' : 'short'
}
