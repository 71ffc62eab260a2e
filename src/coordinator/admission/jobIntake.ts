/** Handles callers' requests at the coordinator: submits, reads and cancels jobs. */
import { unavailable } from '../../entry/callerCall.ts'
import type { CallerAnswer, CallerCall } from '../../entry/callerCall.ts'
import type { QueueSettings, TeamSettings } from '../../jobs/desiredState.ts'
import type { EarlyCancellationKey } from '../../jobs/earlyCancellations.ts'
import type { JobDefinition } from '../../jobs/job.ts'
import { JobProgress } from '../../jobs/jobProgress.ts'
import type { JobRecord } from '../../jobs/jobRecords.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import { RateBudget } from '../../scheduler/rateBudget.ts'
import type { DesiredStateWatcher } from '../desiredStateWatcher.ts'
import type { JobCoordinator } from '../jobCoordinator.ts'
import { RecordsWithdrawnError } from '../log/recordLog.ts'
import { describeRequest } from './admissionRequest.ts'
import type { AdmissionRequest } from './admissionRequest.ts'
import { EarlyCancels } from './earlyCancels.ts'
import type { AdmissionDecision, RefusalDecision } from './feasibilityAdmission.ts'
import { RefusalReport } from './refusalReport.ts'
import type { Refusal } from './refusalReport.ts'

/** Maximum age of the desired state on which a request is refused; an older one is refreshed first. */
const MAX_STATE_AGE_FOR_REFUSAL_MS = 400
/** Store outages last about 5 s and callers make five attempts: with this delay their attempts outlast an outage. */
const RETRY_AFTER_OUTAGE_SECONDS = 2
/** Retry-After has whole seconds: with these three values callers return over more than 2 s, not all at once. */
const OUTAGE_SPREAD_SECONDS = 3

/**
 * Calls about jobs that do not exist, which wait for the election to be confirmed: less than 0.1 s, unless the store is
 * slow. A call that an entry instance repeats counts again until its earlier attempt has ended.
 */
const MAX_UNCONFIRMED_CALLS = 2_000
const UNCONFIRMED_LOG_INTERVAL_MS = 1_000

/** Time over which a team may accumulate unused share. */
const SHARE_BURST_SECONDS = 1

interface ResolvedCall {
  readonly queue: QueueSettings
  /** Empty for anonymous callers. */
  readonly team: string
  readonly teamSettings?: TeamSettings
  /** The path after the queue's prefix: a job's identity, or empty. */
  readonly id: string
}

type CallRefusal = Extract<CallerAnswer, { readonly outcome: 'no-queue' | 'no-job' | 'unauthenticated' }>

interface EstimatedJob {
  readonly request: AdmissionRequest
  readonly decision: AdmissionDecision
}

export class JobIntake {
  readonly #coordinator: JobCoordinator
  readonly #desired: DesiredStateWatcher
  readonly #clock: Clock
  readonly #logger: Logger
  /** Rate of jobs within each team's share. */
  readonly #shares: RateBudget
  readonly #refusals: RefusalReport
  readonly #earlyCancels: EarlyCancels
  /** Jobs whose record is not durable yet, by identity. */
  readonly #pending = new Map<string, Promise<void>>()
  #unconfirmedCalls = 0
  #refusedUnconfirmed = 0
  #unconfirmedLoggedMs = -Infinity

  constructor (coordinator: JobCoordinator, desired: DesiredStateWatcher, clock: Clock, logger: Logger) {
    this.#coordinator = coordinator
    this.#desired = desired
    this.#clock = clock
    this.#logger = logger
    this.#refusals = new RefusalReport(clock, logger)
    this.#earlyCancels = new EarlyCancels(coordinator, clock, logger)
    this.#shares = new RateBudget(clock, team => {
      const weight = desired.index.team(team)?.weight ?? 0
      return { perSecond: weight, burst: Math.max(1, weight * SHARE_BURST_SECONDS) }
    })
  }

  async handle (call: CallerCall): Promise<CallerAnswer> {
    if (!this.#coordinator.ready) return unavailable('the coordinator recovers its jobs')
    if (call.desiredStateVersion > this.#desired.state.version) await this.#desired.refresh(0)
    if (this.#desired.state.version === 0) return unavailable('no desired state is known yet')
    let resolved = this.#resolve(call)
    if ('outcome' in resolved) {
      await this.#desired.refresh(MAX_STATE_AGE_FOR_REFUSAL_MS)
      resolved = this.#resolve(call)
    }
    if ('outcome' in resolved) {
      this.#logger.info({ path: call.path, action: call.action, outcome: resolved.outcome, version: this.#desired.state.version, ageMs: Math.round(this.#desired.ageMs) }, 'call refused')
      return resolved
    }
    // The term may have ended during the refresh; its table may then contain jobs that were never stored.
    if (!this.#coordinator.ready) return unavailable('the term of the coordinator has ended')
    switch (call.action) {
      case 'submit': return await this.#submit(resolved, call.definition)
      case 'read': return resolved.id === '' ? this.#countPending(resolved.queue) : await this.#confirmAbsence(this.#read(resolved))
      case 'cancel': return await this.#cancel(resolved)
    }
  }

  /** Confirms leadership before reporting a missing job: an unnoticed successor may have accepted it. */
  async #confirmAbsence (answer: CallerAnswer): Promise<CallerAnswer> {
    if (answer.outcome !== 'no-job') return answer
    return await this.#awaitStore(async () => await this.#coordinator.confirmLeadership() ? answer : unavailable('another instance may coordinate by now'))
  }

  /** Handles a call about an unknown job, which waits for the store, unless too many do. */
  async #awaitStore (handle: () => Promise<CallerAnswer>): Promise<CallerAnswer> {
    if (this.#unconfirmedCalls >= MAX_UNCONFIRMED_CALLS) return this.#refuseUnconfirmed()
    this.#unconfirmedCalls += 1
    try {
      return await handle()
    } finally {
      this.#unconfirmedCalls -= 1
    }
  }

  /** `absent` makes the entry instance return the refusal at once. The call has no effect: this log has no job that it could affect. */
  #refuseUnconfirmed (): CallerAnswer {
    this.#refusedUnconfirmed += 1
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#unconfirmedLoggedMs >= UNCONFIRMED_LOG_INTERVAL_MS) {
      this.#logger.warn({ refused: this.#refusedUnconfirmed, waiting: this.#unconfirmedCalls }, 'calls about unknown jobs refused: too many wait for the store')
      this.#unconfirmedLoggedMs = nowMs
      this.#refusedUnconfirmed = 0
    }
    return { ...unavailable('too many calls about unknown jobs wait for the store'), absent: true }
  }

  #resolve ({ host, path, key }: CallerCall): ResolvedCall | CallRefusal {
    const { index } = this.#desired
    const queue = index.findQueue(host, path)
    if (queue === undefined) return { outcome: 'no-queue' }
    const teamSettings = index.findTeam(key)
    if (teamSettings === undefined && !queue.anonymous) return { outcome: 'unauthenticated' }
    return { queue, team: teamSettings?.name ?? '', teamSettings, id: path.slice(queue.pathPrefix.length) }
  }

  async #submit ({ queue, team, teamSettings, id }: ResolvedCall, definitionText: string): Promise<CallerAnswer> {
    if (id === '') return { outcome: 'invalid', message: 'the path names no job' }
    const { table } = this.#coordinator
    const pending = this.#pending.get(id)
    if (pending !== undefined) return await this.#awaitAcceptance(pending, queue)
    if (table.jobs.has(id) || table.finished.has(id)) return { outcome: 'accepted' }
    if (this.#coordinator.storeFails) return this.#refuseUnstored(queue)
    const key: EarlyCancellationKey = { id, queue: queue.name, team }
    if (this.#earlyCancels.has(key)) return await this.#awaitPending(id, this.#earlyCancels.acceptCancelled(key), queue)
    const withinShare = teamSettings === undefined || this.#shares.tryTake(team, 1)
    if (!withinShare && this.#coordinator.admission.refuses(team, queue.priority)) return this.#refuseBeyondShare(team, queue)
    const record: JobRecord = {
      type: 'job',
      id,
      queue: queue.name,
      team,
      acceptedWallMs: this.#clock.wallMs(),
      withinShare,
      definition: JSON.parse(definitionText) as JobDefinition
    }
    const estimated = this.#estimate(record, queue)
    if (estimated?.decision.action === 'refuse') {
      // The job did not use the share that was taken for it.
      if (teamSettings !== undefined && withinShare) this.#shares.record(team, -1)
      return this.#refuse(estimated.request, estimated.decision, record)
    }
    const durable = this.#coordinator.applyAndAppend([...this.#coordinator.missingQueueRecords(queue), record])
    // Placement records follow in the log, so that no start request is sent before the job is stored.
    this.#admit(id, durable, estimated)
    return await this.#awaitPending(id, durable, queue)
  }

  async #awaitPending (id: string, durable: Promise<void>, queue: QueueSettings): Promise<CallerAnswer> {
    this.#pending.set(id, durable)
    durable.catch(() => {}).finally(() => this.#pending.delete(id))
    return await this.#awaitAcceptance(durable, queue)
  }

  /** Whether the job can end in time; undefined for jobs whose time can't be estimated. */
  #estimate (record: JobRecord, queue: QueueSettings): EstimatedJob | undefined {
    const { feasibility, runTimes } = this.#coordinator
    if (feasibility === undefined) return undefined
    const nowMs = this.#clock.monotonicMs()
    const request = describeRequest(new JobProgress(record, queue, nowMs), runTimes, nowMs)
    return request === undefined ? undefined : { request, decision: feasibility.decide(record.id, request, Math.random()) }
  }

  /** Refusals are logged in summary only, since hundreds per second would load the coordinator; the entry instance logs each reason. */
  #refuse (request: AdmissionRequest, decision: RefusalDecision, { id, queue }: JobRecord): CallerAnswer {
    this.#coordinator.feasibility?.recordRefusal(id, request, decision)
    const { reason, retryAfterSeconds, expectedStartMs } = decision
    this.#reportRefusal({ reason, queue, retryAfterSeconds, expectedStartMs })
    const wait = Number.isFinite(expectedStartMs) ? `it could start in ${Math.round(expectedStartMs)} ms` : 'no start is foreseen'
    const message = reason === 'late'
      ? `${request.team} has sent more than its share, and the job can not meet its objective: ${wait}`
      : `the job can not end within three times its objective: ${wait}`
    return { outcome: 'limited', message, retryAfterSeconds, absent: true }
  }

  #refuseBeyondShare (team: string, { name, priority }: QueueSettings): CallerAnswer {
    const { admission } = this.#coordinator
    const retryAfterSeconds = admission.retryAfterSeconds(Math.random())
    this.#reportRefusal({ reason: admission.busy ? 'busy' : 'waiting', queue: name, retryAfterSeconds })
    const message = `${team} has sent more than its share while ${admission.waitingJobs(team, priority)} of its jobs wait${admission.busy ? ' and the coordinator is busy' : ''}`
    return { outcome: 'limited', message, retryAfterSeconds, absent: true }
  }

  /** `absent`: the job is not in the log, so it was not accepted by an earlier request either. */
  #refuseUnstored ({ name }: QueueSettings): CallerAnswer {
    const retryAfterSeconds = RETRY_AFTER_OUTAGE_SECONDS + Math.floor(Math.random() * OUTAGE_SPREAD_SECONDS)
    this.#reportRefusal({ reason: 'store', queue: name, retryAfterSeconds })
    return { ...unavailable('the store takes no records', retryAfterSeconds), absent: true }
  }

  #reportRefusal (refusal: Refusal): void {
    this.#refusals.record(refusal)
    this.#coordinator.admissionObserver.observeRefusal(refusal.reason, refusal.retryAfterSeconds)
  }

  async #awaitAcceptance (durable: Promise<void>, queue: QueueSettings): Promise<CallerAnswer> {
    try {
      await durable
      return { outcome: 'accepted' }
    } catch (error) {
      return this.#answerUnstored(error, queue)
    }
  }

  #answerUnstored (error: unknown, queue: QueueSettings): CallerAnswer {
    return error instanceof RecordsWithdrawnError ? this.#refuseUnstored(queue) : { outcome: 'unknown', message: String(error) }
  }

  /** Starts placement at once; the job counts as accepted only when it is durable. */
  #admit (id: string, durable: Promise<void>, estimated: EstimatedJob | undefined): void {
    const job = this.#coordinator.table.jobs.get(id)
    if (job === undefined) return
    if (estimated?.decision.action === 'accept') this.#coordinator.feasibility?.recordAcceptance(job, estimated.request, estimated.decision.expectedStartMs)
    const { version } = this.#desired.state
    this.#coordinator.enqueueJob(job)
    durable.then(() => {
      this.#logger.info({ job: id, team: job.team, queue: job.queue.name, withinShare: job.record.withinShare, expectedStartMs: expectedStartOf(estimated), version, tasks: job.steps.reduce((sum, step) => sum + step.tasks.length, 0) }, 'job accepted')
    }, () => {
      // The term has ended or the job was withdrawn; a successor recovers what was stored.
    })
  }

  #read ({ id, team, queue }: ResolvedCall): CallerAnswer {
    const { table } = this.#coordinator
    const finished = table.finished.get(id)
    if (finished !== undefined) return canAccess(finished, team, queue) ? { outcome: 'state', state: finished.state } : { outcome: 'no-job' }
    const job = table.jobs.get(id)
    if (job === undefined || !canAccess(job.record, team, queue)) return { outcome: 'no-job' }
    // An outcome that is not durable yet is reported as active.
    return { outcome: 'state', state: job.outcome === undefined ? job.state : 'active' }
  }

  async #cancel ({ id, team, queue }: ResolvedCall): Promise<CallerAnswer> {
    const { table } = this.#coordinator
    const job = table.jobs.get(id)
    const finished = job === undefined ? table.finished.get(id) : undefined
    const isFinished = finished !== undefined && canAccess(finished, team, queue)
    if (!isFinished && (job === undefined || !canAccess(job.record, team, queue))) {
      return id === '' ? await this.#confirmAbsence({ outcome: 'no-job' }) : await this.#cancelEarly({ id, queue: queue.name, team }, queue)
    }
    try {
      if (job !== undefined && job.outcome === undefined) {
        const durable = this.#coordinator.applyAndAppend([{ type: 'cancelled', job: id, wallMs: this.#clock.wallMs() }])
        this.#coordinator.finalizeJob(job, durable)
        await durable
      } else {
        // The record of the outcome may not be stored yet.
        await this.#coordinator.flushed()
      }
      return { outcome: 'cancelled' }
    } catch (error) {
      return this.#answerUnstored(error, queue)
    }
  }

  async #cancelEarly (key: EarlyCancellationKey, queue: QueueSettings): Promise<CallerAnswer> {
    return await this.#awaitStore(async () => {
      try {
        return await this.#earlyCancels.cancel(key)
      } catch (error) {
        return this.#answerUnstored(error, queue)
      }
    })
  }

  #countPending (queue: QueueSettings): CallerAnswer {
    let pending = 0
    for (const job of this.#coordinator.table.jobs.values()) {
      if (job.queue.name === queue.name && !job.hasStarted && job.outcome === undefined && job.definition.repetition === undefined) pending += 1
    }
    return { outcome: 'pending', pending }
  }
}

function expectedStartOf (estimated: EstimatedJob | undefined): number | undefined {
  const startMs = estimated?.decision.expectedStartMs
  return startMs === undefined || !Number.isFinite(startMs) ? undefined : Math.round(startMs)
}

/** A job without a team was accepted while its queue took calls without a key. */
function canAccess (job: { readonly team: string, readonly queue: string }, team: string, queue: QueueSettings): boolean {
  return job.team === team || job.team === '' || queue.anonymous
}
