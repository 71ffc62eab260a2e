/** Metrics of an instance that serves jobs. */
import { Counter, Histogram, Registry } from 'prom-client'
import type { MetricsReport } from './operatorApi.ts'

const CALL_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4]
const MS_PER_SECOND = 1_000

export class JobMetrics {
  readonly registry = new Registry()
  readonly #calls = new Counter({
    name: 'agategauge_calls_total', help: 'Calls of callers by their outcome', labelNames: ['action', 'outcome'], registers: [this.registry]
  })

  readonly #duration = new Histogram({
    name: 'agategauge_call_seconds', help: 'Time until a call was answered', labelNames: ['action'], buckets: CALL_BUCKETS_S, registers: [this.registry]
  })

  readonly #refusedClients = new Counter({
    name: 'agategauge_refused_clients_total', help: 'Requests refused and connections closed to protect the instance', labelNames: ['reason'], registers: [this.registry]
  })

  observeCall (action: string, outcome: string, durationMs: number): void {
    this.#calls.inc({ action, outcome })
    this.#duration.observe({ action }, durationMs / MS_PER_SECOND)
  }

  countRefusedClient (reason: string): void {
    this.#refusedClients.inc({ reason })
  }

  /** Renders all metrics in the Prometheus text format. */
  async render (): Promise<MetricsReport> {
    return { contentType: this.registry.contentType, body: await this.registry.metrics() }
  }
}
