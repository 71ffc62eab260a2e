/** Metrics of an instance that serves jobs. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { AdmissionObserver } from '../coordinator/admission/admissionObserver.ts'
import type { MetricsReport } from './operatorApi.ts'

const CALL_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4]
const RESERVATION_BUCKETS_S = [0.1, 0.25, 0.5, 1, 2, 4, 8, 16]
const WAIT_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16]
const MS_PER_SECOND = 1_000

/** Figures of a coordinator's run times and forecast. */
export interface ForecastFigures {
  readonly learnedModels: number
  readonly remoteFactors: Readonly<Record<string, number>>
  readonly declaredErrorFactor: number
  readonly expectedErrorFactor: number
  readonly slowTargets: number
}

export class JobMetrics implements AdmissionObserver {
  readonly registry = new Registry()
  readonly #calls = new Counter({
    name: 'agategauge_calls_total', help: 'Calls of callers by their outcome', labelNames: ['action', 'outcome'], registers: [this.registry]
  })

  readonly #duration = new Histogram({
    name: 'agategauge_call_seconds', help: 'Time until a call was answered', labelNames: ['action'], buckets: CALL_BUCKETS_S, registers: [this.registry]
  })

  readonly #evacuatedDataCentres = new Gauge({
    name: 'agategauge_evacuated_data_centres', help: 'Data centres to which the coordinator sends no tasks, as the operator of the platform requested; 0 on other instances', registers: [this.registry]
  })

  readonly #startsGivenBack = new Counter({
    name: 'agategauge_starts_given_back_total', help: 'Starts that were decided and not sent, since the data centre of their target was evacuated', registers: [this.registry]
  })

  readonly #localityWaits = new Counter({
    name: 'agategauge_locality_waits_total', help: 'Steps of which tasks began to wait for a place near their data, or for one rack', registers: [this.registry]
  })

  readonly #localityStarts = new Counter({
    name: 'agategauge_locality_starts_total', help: 'Tasks that were started after such a wait, near or far from their data', labelNames: ['place'], registers: [this.registry]
  })

  readonly #localityWaited = new Counter({
    name: 'agategauge_locality_waited_seconds_total', help: 'Time that these tasks had waited; what those that started far had waited is lost', labelNames: ['place'], registers: [this.registry]
  })

  readonly #localitySaved = new Counter({
    name: 'agategauge_locality_saved_seconds_total', help: 'Expected run time that these tasks save near their data, without the wait', registers: [this.registry]
  })

  countLocalityWait (): void {
    this.#localityWaits.inc()
  }

  /** Counts tasks that were started after a wait; `savedMs` is the expected run time that each of them saves. */
  observeLocalityStarts (place: 'near' | 'far', tasks: number, waitedMs: number, savedMs: number): void {
    this.#localityStarts.inc({ place }, tasks)
    this.#localityWaited.inc({ place }, tasks * waitedMs / MS_PER_SECOND)
    this.#localitySaved.inc(tasks * savedMs / MS_PER_SECOND)
  }

  setEvacuatedDataCentres (count: number): void {
    this.#evacuatedDataCentres.set(count)
  }

  countStartsGivenBack (count: number): void {
    this.#startsGivenBack.inc(count)
  }

  readonly #reservations = new Histogram({
    name: 'agategauge_reservation_seconds', help: 'Time for which places were reserved for a step, by how the reservation ended', labelNames: ['end'], buckets: RESERVATION_BUCKETS_S, registers: [this.registry]
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

  readonly #refusedClients = new Counter({
    name: 'agategauge_refused_clients_total', help: 'Requests refused and connections closed to protect the instance', labelNames: ['reason'], registers: [this.registry]
  })

  observeCall (action: string, outcome: string, durationMs: number): void {
    this.#calls.inc({ action, outcome })
    this.#duration.observe({ action }, durationMs / MS_PER_SECOND)
  }

  /** Shows the figures of the run times and the forecast; an instance that does not coordinate shows none. */
  showForecast (figures: () => ForecastFigures | undefined): void {
    const gauge = (name: string, help: string, values: (shown: ForecastFigures) => Readonly<Record<string, number>>, label?: string): void => {
      const registered: Gauge = new Gauge({
        name,
        help,
        labelNames: label === undefined ? [] : [label],
        registers: [this.registry],
        collect: () => {
          const shown = figures()
          // A reset sets a metric without labels to 0.
          if (shown === undefined) return label === undefined ? registered.remove() : registered.reset()
          for (const [value, amount] of Object.entries(values(shown))) registered.set(label === undefined ? {} : { [label]: value }, amount)
        }
      })
    }
    gauge('agategauge_run_time_models', 'Groups of similar steps whose run times are learned', ({ learnedModels }) => ({ '': learnedModels }))
    gauge('agategauge_run_time_error_factor', 'Typical factor by which run times were off lately, as declared and as expected', ({ declaredErrorFactor, expectedErrorFactor }) => ({ declared: declaredErrorFactor, expected: expectedErrorFactor }), 'estimate')
    gauge('agategauge_remote_run_time_factor', 'Factor by which runs take longer away from their data, or in a group on several racks', ({ remoteFactors }) => remoteFactors, 'kind')
    gauge('agategauge_slow_targets', 'Targets that get tasks last, since runs take longer there', ({ slowTargets }) => ({ '': slowTargets }))
  }

  /** Shows how many calls to other services wait for a connection, by kind of call. */
  showWaitingCalls (counts: () => Readonly<Record<string, number>>): void {
    const gauge: Gauge = new Gauge({
      name: 'agategauge_calls_waiting_for_connection',
      help: 'Calls that wait for one of the connections to the store or to the placement advisor',
      labelNames: ['kind'],
      registers: [this.registry],
      collect: () => { for (const [kind, count] of Object.entries(counts())) gauge.set({ kind }, count) }
    })
  }

  /** Shows the cancels of jobs that had not been submitted; undefined on an instance that does not coordinate, which shows none. */
  showEarlyCancellations (count: () => number | undefined): void {
    const gauge: Gauge = new Gauge({
      name: 'agategauge_early_cancellations',
      help: 'Jobs that were cancelled before they were submitted, and that are not run if they arrive',
      registers: [this.registry],
      collect: () => {
        const shown = count()
        if (shown === undefined) gauge.remove()
        else gauge.set(shown)
      }
    })
  }

  showCallsInProgress (count: () => number): void {
    const gauge: Gauge = new Gauge({
      name: 'agategauge_calls_in_progress', help: 'Calls of callers that wait for their answer', registers: [this.registry], collect: () => gauge.set(count())
    })
  }

  observeReservation (end: string, heldMs: number): void {
    this.#reservations.observe({ end }, heldMs / MS_PER_SECOND)
  }

  observeRefusal (reason: string, retryAfterSeconds: number): void {
    this.#refusals.inc({ reason })
    this.#retryAfter.observe({ reason }, retryAfterSeconds)
  }

  observeStart (priority: number, expectedMs: number, actualMs: number): void {
    this.#expectedWait.observe({ priority }, expectedMs / MS_PER_SECOND)
    this.#actualWait.observe({ priority }, actualMs / MS_PER_SECOND)
  }

  countRefusedClient (reason: string): void {
    this.#refusedClients.inc({ reason })
  }

  /** Renders all metrics in the Prometheus text format. */
  async render (): Promise<MetricsReport> {
    return { contentType: this.registry.contentType, body: await this.registry.metrics() }
  }
}
