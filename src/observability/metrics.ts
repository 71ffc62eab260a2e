/** Metrics of one instance, in a separate registry. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { RefusalCode } from '../model/errors.ts'
import type { KindName } from '../model/request.ts'
import { DIMENSIONS } from '../model/resources.ts'
import type { Dimension, Resources } from '../model/resources.ts'
import type { Verdict } from '../model/verdict.ts'
import type { MetricsReport } from './operatorApi.ts'
import { OTHER_TEAM, TeamLabels } from './teamLabels.ts'

export type StoreMethod = 'get' | 'list' | 'put' | 'delete' | 'grantLease' | 'renewLease' | 'watch'
export type StoreOutcome = 'ok' | 'conflict' | 'unavailable' | 'unknown'
/** The remote end of control traffic. */
export type ControlChannel = 'peer' | 'target' | 'store' | 'list'

const WAITING_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 15, 60, 300]
const RUN_BUCKETS_S = [0.005, 0.02, 0.1, 0.5, 2, 10, 60, 300, 1_800, 7_200]
const DECISION_BUCKETS_S = [0.000_02, 0.000_05, 0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.02]
const MS_PER_SECOND = 1_000

/**
 * Collects the metrics of an instance and renders them for scraping. At most 200 teams get a label of their own.
 *
 * @example
 * const metrics = new Metrics()
 * metrics.observeWaiting('weavers', 'urgent', 3.5)
 * const { body } = await metrics.render()
 */
export class Metrics {
  readonly registry = new Registry()
  readonly #teams: TeamLabels
  readonly #waiting = this.#histogram('waiting_seconds', 'Time from acceptance to the sending of a request', WAITING_BUCKETS_S)
  readonly #run = this.#histogram('run_seconds', 'Time from the sending of a request to its end', RUN_BUCKETS_S)
  readonly #decision = this.#histogram('decision_seconds', 'Time of one placement decision', DECISION_BUCKETS_S)
  readonly #refusals = this.#counter('refusals_total', 'Refused and failed requests', ['team', 'kind', 'code', 'verdict'])
  readonly #requests = this.#counter('requests_total', 'Accepted requests', ['team', 'kind'])
  readonly #retries = this.#counter('retries_total', 'Attempts after the first', ['team', 'kind'])
  readonly #shed = this.#counter('shed_total', 'Requests shed from a full queue', ['team', 'kind'])
  readonly #crossRegion = this.#counter('cross_region_bytes_total', 'Bytes over the link between regions', ['team'])
  readonly #refusedClients = this.#counter('refused_clients_total', 'Requests refused and connections closed to protect the instance', ['reason'])
  readonly #storeCalls = this.#counter('store_calls_total', 'Calls of the store', ['method', 'outcome'])
  readonly #control = this.#counter('control_bytes_total', 'Bytes of control traffic', ['channel', 'direction'])
  readonly #queued = this.#gauge('queue_entries', 'Waiting requests', ['team', 'kind'])
  readonly #packing = this.#gauge('packing_ratio', 'Reserved part of the owned capacity', ['dimension'])
  readonly #shareOwed = this.#gauge('share_owed_ratio', 'Part of the cluster that the team is entitled to', ['team'])
  readonly #shareGot = this.#gauge('share_got_ratio', 'Part of the cluster that the team uses', ['team'])
  readonly #held = this.#gauge('allotment_held', 'Allotment that the instance holds', ['team', 'dimension'])
  readonly #stranded = this.#gauge('allotment_stranded', 'Allotment that is held, unused and wanted elsewhere', ['team', 'dimension'])
  readonly #configurationAge = this.#gauge('configuration_age_seconds', 'Age up to which the configuration is known to be current', [])
  readonly #configurationVersion = this.#gauge('configuration_version', 'Version of the configuration in force', [])

  constructor (teams = new TeamLabels()) {
    this.#teams = teams
  }

  observeWaiting (team: string, kind: KindName, waitingMs: number): void {
    this.#waiting.observe(this.#workLabels(team, kind), waitingMs / MS_PER_SECOND)
  }

  observeRun (team: string, kind: KindName, runMs: number): void {
    this.#run.observe(this.#workLabels(team, kind), runMs / MS_PER_SECOND)
  }

  observeDecision (team: string, kind: KindName, decisionMs: number): void {
    this.#decision.observe(this.#workLabels(team, kind), decisionMs / MS_PER_SECOND)
  }

  countRequest (team: string, kind: KindName): void {
    this.#requests.inc(this.#workLabels(team, kind))
  }

  countRefusal (team: string, kind: KindName, code: RefusalCode, verdict: Verdict): void {
    this.#refusals.inc({ ...this.#workLabels(team, kind), code, verdict })
  }

  countRetry (team: string, kind: KindName): void {
    this.#retries.inc(this.#workLabels(team, kind))
  }

  countShed (team: string, kind: KindName): void {
    this.#shed.inc(this.#workLabels(team, kind))
  }

  countCrossRegionBytes (team: string, bytes: number): void {
    this.#crossRegion.inc({ team: this.#teams.labelFor(team) }, bytes)
  }

  countRefusedClient (reason: string): void {
    this.#refusedClients.inc({ reason })
  }

  countStoreCall (method: StoreMethod, outcome: StoreOutcome): void {
    this.#storeCalls.inc({ method, outcome })
  }

  countControlBytes (channel: ControlChannel, direction: 'sent' | 'received', bytes: number): void {
    this.#control.inc({ channel, direction }, bytes)
  }

  /** Skips teams that share the label `other`, because a gauge would show the value of only one of them. */
  setQueued (team: string, kind: KindName, entries: number): void {
    const labels = this.#workLabels(team, kind)
    if (labels.team !== OTHER_TEAM) this.#queued.set(labels, entries)
  }

  setPacking (dimension: Dimension, ratio: number): void {
    this.#packing.set({ dimension }, ratio)
  }

  setShare (team: string, owed: number, used: number): void {
    const label = { team: this.#teams.labelFor(team) }
    if (label.team === OTHER_TEAM) return
    this.#shareOwed.set(label, owed)
    this.#shareGot.set(label, used)
  }

  setAllotment (team: string, held: Resources, stranded: Resources): void {
    const label = this.#teams.labelFor(team)
    if (label === OTHER_TEAM) return
    for (const dimension of DIMENSIONS) {
      this.#held.set({ team: label, dimension }, held[dimension])
      this.#stranded.set({ team: label, dimension }, stranded[dimension])
    }
  }

  setConfiguration (version: number, ageMs: number): void {
    this.#configurationVersion.set(version)
    this.#configurationAge.set(ageMs / MS_PER_SECOND)
  }

  /** Renders all metrics in the Prometheus text format. */
  async render (): Promise<MetricsReport> {
    return { contentType: this.registry.contentType, body: await this.registry.metrics() }
  }

  #workLabels (team: string, kind: KindName): { readonly team: string, readonly kind: KindName } {
    return { team: this.#teams.labelFor(team), kind }
  }

  #histogram (name: string, help: string, buckets: number[]): Histogram<'team' | 'kind'> {
    return new Histogram({ name: `agategauge_${name}`, help, labelNames: ['team', 'kind'], buckets, registers: [this.registry] })
  }

  #counter<Label extends string> (name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `agategauge_${name}`, help, labelNames, registers: [this.registry] })
  }

  #gauge<Label extends string> (name: string, help: string, labelNames: Label[]): Gauge<Label> {
    return new Gauge({ name: `agategauge_${name}`, help, labelNames, registers: [this.registry] })
  }
}
