/** Handles operator requests: configuration changes, status, drain, health and metrics. */
import type { ChangeLog, SubmitResult } from '../../configuration/changeLog.ts'
import { toSnapshot } from '../../configuration/configurationState.ts'
import { summarizeConfirmations } from '../../configuration/confirmations.ts'
import type { Confirmations } from '../../configuration/confirmations.ts'
import type { MembershipTable } from '../../membership/membershipTable.ts'
import type { ConfigurationSnapshot } from '../../model/change.ts'
import type { InstanceDigest, InstanceState } from '../../model/digest.ts'
import { isEmpty } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type {
  AllotmentAboveLimit, ChangeAnswer, ChangeSubmission, DataCentreConfirmation, DrainAnswer, HealthReport, MetricsReport, OperatorHandler, StatusReport
} from '../../observability/operatorApi.ts'
import type { Clock } from '../../ports/clock.ts'
import type { AllotmentManager } from '../../scheduler/limits/allotmentManager.ts'

/** Interval at which a submission checks whether the other instances have confirmed the change. */
const CONFIRMATION_INTERVAL_MS = 100

export interface OperatorServiceDependencies {
  readonly clock: Clock
  readonly log: ChangeLog
  readonly membership: MembershipTable
  readonly allotments: Pick<AllotmentManager, 'status'>
  teams (): readonly string[]
  /** Longest key grace period of any team. */
  longestKeyGraceMs (): number
  state (): InstanceState
  describeStatus (): StatusReport
  renderMetrics (): Promise<MetricsReport>
  beginDrain (): void
  /** Why the instance is not ready for requests; undefined if it is ready. */
  unreadyReason (): string | undefined
}

export class OperatorService implements OperatorHandler {
  readonly #dependencies: OperatorServiceDependencies

  constructor (dependencies: OperatorServiceDependencies) {
    this.#dependencies = dependencies
  }

  async readConfiguration (): Promise<ConfigurationSnapshot> {
    return toSnapshot(this.#dependencies.log.state)
  }

  async submitChange (submission: ChangeSubmission, signal: AbortSignal): Promise<ChangeAnswer> {
    const { id, baseVersion, operator, operations, waitMs = 0 } = submission
    const { clock, log } = this.#dependencies
    const result = await log.submit({ id, baseVersion, operator, operations })
    if (result.outcome !== 'accepted') return describeFailure(result)
    const acceptedAtWallMs = clock.wallMs()
    const confirmations = await this.#awaitConfirmations(result.version, acceptedAtWallMs, waitMs, signal)
    return {
      outcome: 'accepted',
      version: result.version,
      confirmations: describeConfirmations(confirmations),
      aboveLimit: this.listAboveLimit()
    }
  }

  async readStatus (): Promise<StatusReport> {
    return this.#dependencies.describeStatus()
  }

  async drainSelf (): Promise<DrainAnswer> {
    this.#dependencies.beginDrain()
    return { state: this.#dependencies.state() }
  }

  async readMetrics (): Promise<MetricsReport> {
    return await this.#dependencies.renderMetrics()
  }

  readHealth (): HealthReport {
    return { ok: true, state: this.#dependencies.state() }
  }

  readReadiness (): HealthReport {
    const reason = this.#dependencies.unreadyReason()
    return { ok: reason === undefined, state: this.#dependencies.state(), reason }
  }

  /** Allotments held of teams that are above a lowered limit, by data centre. */
  listAboveLimit (): readonly AllotmentAboveLimit[] {
    const { allotments, membership, teams } = this.#dependencies
    const reachable = new Set(membership.live().map(({ digest }) => digest.dataCentre))
    return teams().flatMap(team => {
      const { aboveLimit, byDataCentre } = allotments.status(team)
      if (isEmpty(aboveLimit)) return []
      return Object.entries<Resources>(byDataCentre).map(([dataCentre, held]) => ({ team, dataCentre, held, reachable: reachable.has(dataCentre) }))
    })
  }

  async #awaitConfirmations (version: number, acceptedAtWallMs: number, waitMs: number, signal: AbortSignal): Promise<Confirmations> {
    const { clock } = this.#dependencies
    const waitUntil = clock.monotonicMs() + waitMs
    for (;;) {
      const confirmations = this.#summarize(version, acceptedAtWallMs)
      if (confirmations.unconfirmed.length === 0 || clock.monotonicMs() >= waitUntil || signal.aborted) return confirmations
      await clock.sleep(CONFIRMATION_INTERVAL_MS, signal).catch(() => {})
    }
  }

  #summarize (version: number, acceptedAtWallMs: number): Confirmations {
    const { membership, log } = this.#dependencies
    const others = keepLatestIncarnations(membership.others().map(({ digest }) => digest))
    const own = membership.live()[0]?.digest
    const instances = [...others, ...own === undefined ? [] : [{ ...own, configurationVersion: log.version }]]
    const keyGraceMs = this.#dependencies.longestKeyGraceMs()
    return summarizeConfirmations({ version, acceptedAtWallMs, keyGraceMs }, instances)
  }
}

/** Instance names are unique, so of several incarnations only the one heard from last still runs. */
function keepLatestIncarnations (digests: readonly InstanceDigest[]): readonly InstanceDigest[] {
  const newest = new Map<string, InstanceDigest>()
  for (const digest of digests) {
    const known = newest.get(digest.ref.name)
    if (known === undefined || digest.heardAge < known.heardAge) newest.set(digest.ref.name, digest)
  }
  return [...newest.values()]
}

function describeConfirmations ({ dataCentres, refusesFromWallMs }: Confirmations): readonly DataCentreConfirmation[] {
  return dataCentres.map(({ dataCentre, unconfirmed }) => unconfirmed.length === 0
    ? { dataCentre, confirmed: true }
    : { dataCentre, confirmed: false, refusesKeyedWorkByWallMs: refusesFromWallMs })
}

function describeFailure (result: Exclude<SubmitResult, { outcome: 'accepted' }>): ChangeAnswer {
  switch (result.outcome) {
    case 'conflict':
      return { outcome: 'conflict', winner: result.winner, paths: result.paths }
    case 'invalid':
      return { outcome: 'invalid', messages: result.problems }
    case 'unavailable':
      return { outcome: 'unavailable', message: result.reason, mayHaveBeenAccepted: false }
    case 'unknown':
      return { outcome: 'unavailable', message: 'the store did not answer', mayHaveBeenAccepted: true }
  }
}
