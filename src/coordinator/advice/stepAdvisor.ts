/** Keeps the placement advisor's answers for the waiting steps, and asks its questions. */
import type { QueueSettings } from '../../jobs/desiredState.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import { QuestionNotNeededError } from './adviceLanes.ts'
import type { AdviceLanes } from './adviceLanes.ts'
import { AllowedShare } from './adviceQuestion.ts'
import { StepAdvice } from './stepAdvice.ts'

const RETRY_DELAY_MS = 100
/** Less than the difference between two priorities. */
const RENEWAL_PRECEDENCE = 0.5

/** A target that a question may name. */
interface AdvisedTarget {
  readonly id: string
  readonly key: string
}

export interface StepAdvisorOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly lanes: AdviceLanes
  /** Called after each question, answered or not. */
  readonly onAnswered: () => void
}

/**
 * @example
 * await advisor.ask(step, queue, sessions)
 * const allowed = advisor.adviceOf(step).allows(session.key)
 */
export class StepAdvisor {
  readonly #options: StepAdvisorOptions
  readonly #advice = new Map<StepProgress, StepAdvice>()
  /** By queue name. */
  readonly #allowedShares = new Map<string, AllowedShare>()

  constructor (options: StepAdvisorOptions) {
    this.#options = options
  }

  /** Returns undefined if nothing was asked about the step. */
  findAdvice (step: StepProgress): StepAdvice | undefined {
    return this.#advice.get(step)
  }

  adviceOf (step: StepProgress): StepAdvice {
    const advice = this.#advice.get(step) ?? new StepAdvice()
    this.#advice.set(step, advice)
    return advice
  }

  remove (step: StepProgress): void {
    this.#advice.delete(step)
  }

  /** Share of the targets that the queue's policy allows, learned from its answers. */
  allowedShare ({ name }: QueueSettings): AllowedShare {
    const share = this.#allowedShares.get(name) ?? new AllowedShare()
    this.#allowedShares.set(name, share)
    return share
  }

  /** Asks on which of the targets waiting tasks of the step may run; resolves also if there is no answer. */
  async ask (step: StepProgress, queue: QueueSettings, targets: readonly AdvisedTarget[]): Promise<void> {
    await this.#ask(step, queue, targets, queue.priority, () => step.job.outcome === undefined && step.waiting.length > 0)
  }

  /**
   * Asks for new tickets of the targets on which tasks of the step are about to be started, ahead of other questions of the
   * priority, since capacity stays reserved meanwhile; resolves also if there is no answer.
   */
  async renew (step: StepProgress, queue: QueueSettings, targets: readonly AdvisedTarget[]): Promise<void> {
    await this.#ask(step, queue, targets, queue.priority - RENEWAL_PRECEDENCE, () => step.job.outcome === undefined)
  }

  /** Expected milliseconds until a lane is free for a further question, and from then on until its answer. */
  expectQuestion ({ advice, priority }: QueueSettings, targets: number): { readonly laneWaitMs: number, readonly decisionMs: number } {
    const decisionMs = advice === undefined ? 0 : advice.decisionMs + advice.perTargetMs * targets
    return { laneWaitMs: this.#options.lanes.expectedWaitMs(decisionMs, priority), decisionMs }
  }

  async #ask (step: StepProgress, queue: QueueSettings, targets: readonly AdvisedTarget[], rank: number, isNeeded: () => boolean): Promise<void> {
    const { clock, logger, lanes, onAnswered } = this.#options
    const settings = queue.advice
    if (settings === undefined || targets.length === 0) return
    const advice = this.adviceOf(step)
    const keysById = new Map(targets.map(({ id, key }) => [id, key]))
    const isFirst = !advice.answered
    const askedMs = clock.monotonicMs()
    advice.openQuestions += 1
    try {
      const allowed = await lanes.ask({
        step: step.name,
        targets: [...keysById.keys()],
        expectedMs: settings.decisionMs + settings.perTargetMs * keysById.size
      }, rank, isNeeded)
      const answeredMs = clock.monotonicMs()
      advice.answeredAtMs = answeredMs
      advice.recordAnswer(keysById, allowed, answeredMs, settings.ticketValidityMs)
      // Later questions are also about targets that are known to be allowed.
      if (isFirst) this.allowedShare(queue).recordAnswer(keysById.size, allowed.length)
      logger.info({ job: step.job.id, step: step.name, named: keysById.size, allowed: allowed.length, tookMs: Math.round(answeredMs - askedMs) }, 'placement advice received')
    } catch (error) {
      if (error instanceof QuestionNotNeededError) return
      logger.info({ job: step.job.id, step: step.name, error: String(error) }, 'placement advisor request failed')
      advice.backoffUntilMs = clock.monotonicMs() + RETRY_DELAY_MS
    } finally {
      advice.openQuestions -= 1
      onAnswered()
    }
  }
}
