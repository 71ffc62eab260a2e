/** Metrics of an instance that serves jobs. */
import { Counter, Histogram, Registry } from 'prom-client'
import type { AdmissionObserver } from '../coordinator/admission/admissionObserver.ts'
import type { MetricsReport } from './operatorApi.ts'

const CALL_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4]
const WAIT_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16]
const MS_PER_SECOND = 1_000

export class JobMetrics implements AdmissionObserver {
  readonly registry = new Registry()
  readonly #calls = new Counter({
    name: 'agategauge_calls_total', help: 'Calls of callers by their outcome', labelNames: ['action', 'outcome'], registers: [this.registry]
  })

  readonly #duration = new Histogram({
    name: 'agategauge_call_seconds', help: 'Time until a call was answered', labelNames: ['action'], buckets: CALL_BUCKETS_S, registers: [this.registry]
  })

  readonly #refusals = new Counter({
    name: 'agategauge_admission_refusals_total', help: 'Submissions refused by the coordinator by reason', labelNames: ['reason'], registers: [this.registry]
  })

  readonly #retryAfter = new Histogram({
    name: 'agategauge_admission_retry_after_seconds', help: 'Retry-After of refused submissions', labelNames: ['reason'], buckets: [1, 2, 3, 4, 6, 8, 10], registers: [this.registry]
  })

  readonly #expectedWait = new Histogram({
    name: 'agategauge_admission_expected_wait_seconds', help: 'Expected wait of accepted jobs that have started', labelNames: ['priority'], buckets: WAIT_BUCKETS_S, registers: [this.registry]
  })

  readonly #actualWait = new Histogram({
    name: 'agategauge_admission_actual_wait_seconds', help: 'Actual wait of the same jobs', labelNames: ['priority'], buckets: WAIT_BUCKETS_S, registers: [this.registry]
  })

  observeCall (action: string, outcome: string, durationMs: number): void {
    this.#calls.inc({ action, outcome })
    this.#duration.observe({ action }, durationMs / MS_PER_SECOND)
  }

  observeRefusal (reason: string, retryAfterSeconds: number): void {
    this.#refusals.inc({ reason })
    this.#retryAfter.observe({ reason }, retryAfterSeconds)
  }

  observeStart (priority: number, expectedMs: number, actualMs: number): void {
    this.#expectedWait.observe({ priority }, expectedMs / MS_PER_SECOND)
    this.#actualWait.observe({ priority }, actualMs / MS_PER_SECOND)
  }

  /** Renders all metrics in the Prometheus text format. */
  async render (): Promise<MetricsReport> {
    return { contentType: this.registry.contentType, body: await this.registry.metrics() }
  }
}
