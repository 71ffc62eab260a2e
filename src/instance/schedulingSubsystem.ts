/** Components that admit, route, place and run requests. */
import type { InstanceRef } from '../model/identity.ts'
import type { Resources } from '../model/resources.ts'
import type { WorkRequest } from '../model/request.ts'
import type { TargetInfo } from '../model/target.ts'
import type { RequestStatus } from '../ports/peerClient.ts'
import { Admission } from '../scheduler/admission/admission.ts'
import { TargetBreaker } from '../scheduler/breaker/targetBreaker.ts'
import type { ClaimClient } from '../scheduler/claims/claimClient.ts'
import type { AllotmentManager } from '../scheduler/limits/allotmentManager.ts'
import type { OwnershipManager } from '../scheduler/ownership/ownershipManager.ts'
import { TargetPool } from '../scheduler/placement/targetPool.ts'
import { FairQueue, MAXIMUM_QUEUE_BYTES, MAXIMUM_QUEUE_ENTRIES } from '../scheduler/queue/fairQueue.ts'
import { RetryBudget } from '../scheduler/retries/retryBudget.ts'
import { decideRetry } from '../scheduler/retries/retryPolicy.ts'
import { CrossRegionBudget } from '../scheduler/routing/router.ts'
import { ShareLedger } from '../scheduler/shares/shareLedger.ts'
import { UsageEstimator } from '../scheduler/usage/usageEstimator.ts'
import type { ConfigurationSubsystem } from './configurationSubsystem.ts'
import { Dispatcher } from './requests/dispatcher.ts'
import { ActiveRequestTable } from './requests/activeRequestTable.ts'
import type { InstanceOptions } from './instanceOptions.ts'
import { LocalScheduler } from './placement/localScheduler.ts'
import { PlacementQueue } from './placement/placementQueue.ts'
import type { PlacementRequest, WaitingRequest } from './placement/placementQueue.ts'
import { Preemptor } from './placement/preemptor.ts'
import { RequestRouter } from './requests/requestRouter.ts'
import { RequestService } from './requests/requestService.ts'
import { SchedulingReporter } from './reports/schedulingReporter.ts'
import { ServiceSupervisor } from './tasks/serviceSupervisor.ts'
import { TargetAvailability } from './tasks/targetAvailability.ts'
import { TaskStarter } from './tasks/taskStarter.ts'
import { TaskTracker } from './tasks/taskTracker.ts'
import { isTaskOfAttempt } from './placement/taskIds.ts'
import { WaitEstimator } from './placement/waitEstimator.ts'

/** Burst allowance for a team's cross-region traffic, in seconds of its rate. */
const CROSS_REGION_BURST_S = 4

/** State of components that are constructed after the scheduling subsystem, hence the accessors. */
export interface SchedulingContext {
  ownership (): OwnershipManager
  allotments (): AllotmentManager
  claims (): ClaimClient
  self (): InstanceRef
  isDraining (): boolean
}

export class SchedulingSubsystem {
  readonly ledger = new ShareLedger()
  readonly estimator = new UsageEstimator()
  readonly retryBudget = new RetryBudget()
  readonly waitEstimator = new WaitEstimator()
  readonly pool: TargetPool
  readonly placements: PlacementQueue
  readonly tracker: TaskTracker
  readonly breaker: TargetBreaker
  readonly targetAvailability: TargetAvailability
  readonly preemptor: Preemptor
  readonly activeRequests: ActiveRequestTable
  readonly crossRegion: CrossRegionBudget
  readonly admission: Admission
  readonly dispatcher: Dispatcher
  readonly starter: TaskStarter
  readonly supervisor: ServiceSupervisor
  readonly requests: RequestService
  readonly #options: InstanceOptions
  readonly #configuration: ConfigurationSubsystem
  readonly #context: SchedulingContext
  readonly #reporter: SchedulingReporter

  constructor (options: InstanceOptions, configuration: ConfigurationSubsystem, context: SchedulingContext) {
    const { clock, random, targetClient, self } = options
    this.#options = options
    this.#configuration = configuration
    this.#context = context
    this.#reporter = new SchedulingReporter(options, this.retryBudget, this.waitEstimator)
    this.pool = new TargetPool(random)
    this.breaker = new TargetBreaker(clock)
    this.tracker = new TaskTracker(clock, targetClient)
    this.activeRequests = new ActiveRequestTable(self.name)
    this.targetAvailability = new TargetAvailability({
      pool: this.pool,
      breaker: this.breaker,
      ownership: () => context.ownership(),
      configuration: () => configuration.log.state,
      listedTargets: () => configuration.localTargets()
    })
    this.placements = this.#createPlacements()
    this.preemptor = this.#createPreemptor()
    this.crossRegion = new CrossRegionBudget(clock, team => {
      const { crossRegionBytesPerSecond: bytesPerSecond } = configuration.settings.find(team, 'batch')
      return { bytesPerSecond, burstBytes: bytesPerSecond * CROSS_REGION_BURST_S }
    })
    this.admission = this.#createAdmission()
    this.starter = this.#createStarter()
    this.dispatcher = this.#createDispatcher(this.#createScheduler())
    this.supervisor = this.#createSupervisor()
    this.requests = this.#createRequests()
  }

  #createPlacements (): PlacementQueue {
    const { clock } = this.#options
    const queue = new FairQueue<WaitingRequest>({
      maximumEntries: MAXIMUM_QUEUE_ENTRIES,
      maximumBytes: MAXIMUM_QUEUE_BYTES,
      clock,
      weightedShare: team => this.ledger.weightedShare(team)
    })
    return new PlacementQueue({
      clock,
      pool: this.pool,
      queue,
      allotments: {
        trySpend: (team, taskId, size) => this.#context.allotments().trySpend(team, taskId, size),
        refund: taskId => this.#context.allotments().refund(taskId),
        adopt: async (team, taskId, size, from) => await this.#context.allotments().adopt(team, taskId, size, from),
        surrender: taskId => this.#context.allotments().surrender(taskId)
      },
      ledger: this.ledger,
      probes: this.targetAvailability,
      onWaiting: request => this.#onWaiting(request)
    })
  }

  #onWaiting (request: PlacementRequest): void {
    const { team, kind } = request
    this.#context.allotments().setQueuedDemand(team, this.placements.waiting(team).size)
    if (kind === 'urgent') this.preemptor.preemptFor(request)
  }

  #createPreemptor (): Preemptor {
    const { clock, logger } = this.#options
    return new Preemptor({
      clock,
      ledger: this.ledger,
      pool: this.pool,
      placements: () => this.placements,
      tracker: this.tracker,
      settings: this.#configuration.settings,
      onFailure: (taskId, error) => logger.warn({ taskId, err: error }, 'failed to checkpoint a task')
    })
  }

  #createAdmission (): Admission {
    const { settings, freshness } = this.#configuration
    return new Admission({
      clock: this.#options.clock,
      authenticate: key => this.#configuration.keys.authenticate(key),
      findOpenQueue: queue => settings.findOpenQueue(queue),
      configurationAge: () => freshness.ageMs(),
      settings: (team, kind) => {
        const { defaultSize, defaultDeadlineMs, limit, keyGraceMs } = settings.find(team, kind)
        return { size: defaultSize, deadlineMs: defaultDeadlineMs, limit, keyGraceMs }
      },
      listedTargets: () => this.#configuration.listedTargets()
    })
  }

  #createStarter (): TaskStarter {
    const { clock, targetClient } = this.#options
    const { ownership } = this.#context
    return new TaskStarter({
      clock,
      targetClient,
      ownership: {
        epochOf: targetId => ownership().epochOf(targetId),
        reportFenced: (targetId, epoch) => ownership().reportFenced(targetId, epoch)
      },
      breaker: this.breaker,
      tracker: this.tracker,
      findTarget: targetId => this.#findTarget(targetId),
      leaseMs: work => this.#configuration.settings.find(work.team, work.request.kind).taskLeaseMs,
      onBreakerChange: (targetId, open) => this.#onBreakerChange(targetId, open),
      onEnded: taskId => this.placements.release(taskId)
    })
  }

  #createScheduler (): LocalScheduler {
    const { clock } = this.#options
    const { claims } = this.#context
    return new LocalScheduler({
      self: this.#options.self,
      clock,
      placements: this.placements,
      claims: { claim: async (team, requestId, holder, deadlineAt) => await claims().claim(team, requestId, holder, deadlineAt) },
      starter: this.starter,
      tracker: this.tracker,
      estimateSize: (team, request) => this.#estimateSize(team, request),
      onDetached: (work, ended) => this.supervisor.watch(work, ended),
      observer: this.#reporter
    })
  }

  #createDispatcher (scheduler: LocalScheduler): Dispatcher {
    const { clock, random, peerClient, metrics } = this.#options
    const router = new RequestRouter({
      self: () => this.#context.self(),
      location: this.#options.location,
      pool: this.pool,
      placements: this.placements,
      membership: this.#configuration.membership,
      settings: this.#configuration.settings,
      budget: this.crossRegion,
      random,
      waitEstimator: this.waitEstimator,
      isDraining: () => this.#context.isDraining()
    })
    return new Dispatcher({
      selfName: this.#options.self.name,
      clock,
      peerClient,
      runLocally: work => scheduler.run(work),
      chooseRoute: query => router.choose(query),
      decideRetry: question => decideRetry(question, this.retryBudget, random),
      configurationVersion: () => this.#configuration.log.version,
      onRetry: (team, kind) => metrics.countRetry(team, kind),
      onCrossRegionBytes: (team, bytes) => {
        this.crossRegion.record(team, bytes)
        metrics.countCrossRegionBytes(team, bytes)
      }
    })
  }

  #createSupervisor (): ServiceSupervisor {
    const { clock, random, logger } = this.#options
    return new ServiceSupervisor({
      clock,
      random,
      run: context => this.dispatcher.run(context),
      isDraining: () => this.#context.isDraining(),
      onRestart: ({ team, request }, end) => logger.warn({ team, requestId: request.id, end }, 'service task failed; restarting the service')
    })
  }

  #stopTasks (team: string, requestId: string, attemptId?: string): boolean {
    const tasks = this.placements.held.ofRequest(team, requestId)
      .filter(({ taskId }) => attemptId === undefined || isTaskOfAttempt(taskId, attemptId))
    if (tasks.some(task => task.kind === 'service')) this.supervisor.cancel(team, requestId)
    for (const { taskId } of tasks) this.tracker.stop(taskId)
    return tasks.length > 0
  }

  #findTasks (team: string, requestId: string): readonly RequestStatus[] {
    const instance = this.#options.self.name
    return this.placements.held.ofRequest(team, requestId)
      .map(({ taskId, targetId }) => ({ instance, state: 'running', attemptId: taskId, target: targetId }))
  }

  #createRequests (): RequestService {
    const { clock, peerClient } = this.#options
    return new RequestService({
      clock,
      admission: this.admission,
      dispatcher: this.dispatcher,
      activeRequests: this.activeRequests,
      peerClient,
      stopTasks: (team, requestId, attemptId) => this.#stopTasks(team, requestId, attemptId),
      findTasks: (team, requestId) => this.#findTasks(team, requestId),
      peerAddresses: () => this.#configuration.membership.others().map(({ digest }) => digest.peerAddress),
      isDraining: () => this.#context.isDraining(),
      catchUp: async version => await this.#configuration.catchUp(version),
      observer: this.#reporter
    })
  }

  #findTarget (targetId: string): TargetInfo | undefined {
    return this.pool.find(targetId)?.info
  }

  #onBreakerChange (targetId: string, open: boolean): void {
    this.#options.logger.warn({ target: targetId }, open ? 'circuit breaker opened: target failed several starts in a row and is out of use' : 'circuit breaker closed: target is in use again')
    this.targetAvailability.refresh()
    this.placements.pump()
  }

  #estimateSize (team: string, { kind, name, size }: WorkRequest): Resources {
    return this.estimator.estimate(team, kind, name, size, this.#configuration.largestLocalCapacity())
  }
}
