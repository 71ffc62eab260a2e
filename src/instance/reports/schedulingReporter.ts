/** Records the outcomes of requests in the metrics, the log, the retry budget and the wait estimates. */
import type { RefusalError } from '../../model/errors.ts'
import type { AdmittedRequest } from '../../model/request.ts'
import type { RetryBudget } from '../../scheduler/retries/retryBudget.ts'
import type { InstanceOptions } from '../instanceOptions.ts'
import type { SchedulingObserver } from '../placement/localScheduler.ts'
import type { LocalWork } from '../requests/localWork.ts'
import type { RequestObserver } from '../requests/requestService.ts'
import type { WaitEstimator } from '../placement/waitEstimator.ts'

export class SchedulingReporter implements SchedulingObserver, RequestObserver {
  readonly #options: InstanceOptions
  readonly #retryBudget: RetryBudget
  readonly #waitEstimator: WaitEstimator

  constructor (options: InstanceOptions, retryBudget: RetryBudget, waitEstimator: WaitEstimator) {
    this.#options = options
    this.#retryBudget = retryBudget
    this.#waitEstimator = waitEstimator
  }

  onPlaced ({ team, request }: LocalWork, waitedMs: number): void {
    this.#waitEstimator.record(request.kind, waitedMs)
    this.#options.metrics.observeWaiting(team, request.kind, waitedMs)
  }

  onFinished ({ team, request }: LocalWork, ranMs: number): void {
    this.#options.metrics.observeRun(team, request.kind, ranMs)
  }

  onAccepted ({ team, request }: AdmittedRequest): void {
    this.#retryBudget.recordRequest(team)
    this.#options.metrics.countRequest(team, request.kind)
  }

  onRefused (admitted: AdmittedRequest | undefined, refusal: RefusalError): void {
    const { metrics, logger } = this.#options
    const { code, verdict } = refusal
    const fields = { team: admitted?.team, requestId: admitted?.request.id, code, verdict }
    logger.info({ ...fields, err: refusal.cause }, refusal.message)
    if (admitted === undefined) return
    metrics.countRefusal(admitted.team, admitted.request.kind, code, verdict)
    if (code === 'shed') metrics.countShed(admitted.team, admitted.request.kind)
  }
}
