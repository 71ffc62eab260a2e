/** Composes and starts an instance on the users' platform. */
import { BUILD_ID } from '../buildId.ts'
import { CoordinatorPeerClient } from '../adapters/peer/coordinatorPeerClient.ts'
import { createCoordinatorPeerServer } from '../adapters/peer/coordinatorPeerServer.ts'
import { SystemClock } from '../adapters/clock/systemClock.ts'
import { PROBE_LIMITS } from '../adapters/http/frontEndLimits.ts'
import { JsonServer } from '../adapters/http/jsonServer.ts'
import { DesiredStateWatcher } from '../coordinator/desiredStateWatcher.ts'
import { CallRouter } from '../entry/callRouter.ts'
import { JobInstance } from '../entry/jobInstance.ts'
import type { JobInstanceOptions } from '../entry/jobInstance.ts'
import { LifecycleManager } from '../lifecycle/lifecycleManager.ts'
import { PauseMonitor } from '../lifecycle/pauseMonitor.ts'
import { runInBackground } from '../lifecycle/runInBackground.ts'
import { createLogger } from '../observability/logger.ts'
import type { Logger, LoggerOptions } from '../observability/logger.ts'
import { JobMetrics } from '../observability/jobMetrics.ts'
import type { Clock } from '../ports/clock.ts'
import { logUnexpectedError } from '../observability/unexpectedErrors.ts'
import { SettingsReloader } from '../settings/settingsReloader.ts'
import { CallerFrontend } from './callerFrontend.ts'
import { DESIRED_STATE_KEY, EVACUATION_PREFIX, OPERATOR_PREFIX, parseDesiredState } from './desiredState.ts'
import { PlatformAdvisor } from './platformAdvisor.ts'
import { PlatformStore } from './platformStore.ts'
import { PlatformTarget } from './platformTarget.ts'
import { readSettings } from './settingsFile.ts'
import type { PlatformSettings } from './settingsFile.ts'
import { StoredTargetDirectory } from './targetEntry.ts'

/** Subtracted from the longest lease that targets grant. */
const LEASE_MARGIN_MS = 500
/** Time for which a stopping instance keeps serving, so that the load balancer and the callers can switch to other instances. */
const LEAVE_DELAY_MS = 2_500
/** Parts of the platform's stop grace period, from the signal on: until the last open call is answered, and for the whole stop. */
const ANSWER_SHARE = 5 / 6
const STOP_SHARE = 11 / 12
const READY_PATH = '/-/readyz'
const METRICS_PATH = '/metrics'

type LogLevel = LoggerOptions['level']

/** Settings that can be reloaded while the instance runs. A changed target lease takes effect from the next election. */
const RELOADABLE_SETTINGS = ['storeAddress', 'advisorAddress', 'stopGraceMs', 'longestTargetLeaseMs', 'finishedJobMs', 'admitsByExpectedEnd'] as const

/** A running instance. */
export interface PlatformInstance {
  /** Starts the planned shutdown, `elapsedMs` after the signal arrived; further calls have no effect. */
  stop (elapsedMs?: number): Promise<void>
  /** Reloads the settings file and applies its changes; `source` is logged as the trigger. */
  reload (source: string): void
  logUnexpectedError (error: unknown): void
  readonly stopped: Promise<void>
}

/**
 * Starts an instance with the platform's settings file.
 *
 * @example
 * const instance = await startOnPlatform('/etc/agategauge/local.toml')
 */
export async function startOnPlatform (settingsPath: string, level: LogLevel = 'info'): Promise<PlatformInstance> {
  const settings = readSettings(settingsPath)
  const clock = new SystemClock()
  const logger = createLogger({ level, instance: settings.instance, dataCentre: settings.dataCentre, secrets: [], skipFieldRedaction: true })
  const metrics = new JobMetrics()
  const store = new PlatformStore(settings.storeAddress, clock)
  const peers = new CoordinatorPeerClient(clock)
  const desired = new DesiredStateWatcher({ store, prefix: OPERATOR_PREFIX, key: DESIRED_STATE_KEY, evacuationPrefix: EVACUATION_PREFIX, parse: parseDesiredState, clock, logger })
  const advisor = new PlatformAdvisor(settings.advisorAddress, clock)
  const reloader = createReloader(settingsPath, settings, { store, advisor, clock, logger })
  const peerAddress = `${settings.ip}:${settings.peerPort}`
  const instance = new JobInstance({
    instance: settings.instance,
    address: peerAddress,
    region: settings.region,
    processors: settings.processors,
    bandwidthMbps: settings.bandwidthMbps,
    store,
    clock,
    logger,
    metrics,
    desired,
    directory: new StoredTargetDirectory(store, logger),
    connect: (address, incarnation) => new PlatformTarget(address, incarnation, clock),
    regionOf: dataCentre => findRegion(settings, dataCentre),
    advisor,
    peers,
    ...readTermSettings(reloader)
  })
  const pauses = new PauseMonitor(clock)
  const router = new CallRouter({ instance, ownAddress: peerAddress, peers, clock, logger, inputAgeMs: () => pauses.inputAgeMs })
  const frontend = new CallerFrontend({
    address: settings.callerAddress,
    handler: router,
    desiredState: () => instance.desiredState,
    logger,
    limits: settings.frontEnd,
    onRefused: reason => metrics.countRefusedClient(reason),
    onCall: (action, outcome, durationMs) => metrics.observeCall(action, outcome, durationMs)
  })
  showStatus(metrics, { instance, store, advisor, frontend })
  let stopping = false
  const readinessServer = createReadinessServer(settings.readinessAddress, () => !stopping && instance.canServeCalls)

  const manager = new LifecycleManager(settings.stopGraceMs * STOP_SHARE)
  for (const component of [pauses, store, peers, reloader, createCoordinatorPeerServer(peerAddress, instance), instance, readinessServer, createMetricsServer(`${settings.ip}:${settings.metricsPort}`, metrics), frontend]) manager.add(component)
  await manager.start()
  logger.info({ build: BUILD_ID, ...describeSettings(settings) }, 'instance started')

  const stopSequence = createStopSequence({ manager, instance, frontend, reloader, clock, logger })
  return {
    stopped: stopSequence.done,
    reload: source => reloader.reload(source),
    logUnexpectedError: error => logUnexpectedError(logger, error),
    async stop (elapsedMs = 0) {
      if (stopping) return
      stopping = true
      await stopSequence.run(elapsedMs)
    }
  }
}

interface ShownComponents {
  readonly instance: JobInstance
  readonly store: PlatformStore
  readonly advisor: PlatformAdvisor
  readonly frontend: CallerFrontend
}

/** Shows the state of the components as metrics. */
function showStatus (metrics: JobMetrics, { instance, store, advisor, frontend }: ShownComponents): void {
  metrics.showForecast(() => instance.forecastStatus)
  metrics.showEarlyCancellations(() => instance.earlyCancellations)
  metrics.showWaitingCalls(() => ({ ...store.waitingCalls, advice: advisor.waitingCalls }))
  metrics.showCallsInProgress(() => frontend.callsInProgress)
}

/** Settings that apply from the next election on. */
function readTermSettings (reloader: SettingsReloader<PlatformSettings>): Pick<JobInstanceOptions, 'targetLeaseMs' | 'finishedJobMs' | 'remoteFactor' | 'admitsByExpectedEnd'> {
  return {
    targetLeaseMs: () => reloader.current.longestTargetLeaseMs - LEASE_MARGIN_MS,
    finishedJobMs: () => reloader.current.finishedJobMs,
    remoteFactor: () => reloader.current.remoteFactor,
    admitsByExpectedEnd: () => reloader.current.admitsByExpectedEnd
  }
}

/** The data centre comes from the entry of a target, which may name none that is known. */
function findRegion ({ regionsByDataCentre, region }: PlatformSettings, dataCentre: string): string {
  return (Object.hasOwn(regionsByDataCentre, dataCentre) ? regionsByDataCentre[dataCentre] : undefined) ?? region
}

interface StopDependencies {
  readonly manager: LifecycleManager
  readonly instance: JobInstance
  readonly frontend: CallerFrontend
  readonly reloader: SettingsReloader<PlatformSettings>
  readonly clock: Clock
  readonly logger: Logger
}

/**
 * Hands over and keeps serving while the load balancer takes the instance out of use, then stops the components. All times
 * count from the signal, whatever one step takes, since the platform then kills the process.
 */
function createStopSequence ({ manager, instance, frontend, reloader, clock, logger }: StopDependencies): { readonly done: Promise<void>, run (elapsedMs: number): Promise<void> } {
  let resolveDone: () => void = () => {}
  const done = new Promise<void>(resolve => { resolveDone = resolve })
  return {
    done,
    async run (elapsedMs) {
      const { stopGraceMs } = reloader.current
      const signalAtMs = clock.monotonicMs() - elapsedMs
      logger.info({ leaveMs: LEAVE_DELAY_MS, elapsedMs: Math.round(elapsedMs) }, 'instance stops')
      frontend.beginClosing(Math.max(0, stopGraceMs * ANSWER_SHARE - elapsedMs))
      runInBackground(instance.stepDown(), logger, 'hand-over')
      await clock.sleep(Math.max(0, Math.min(LEAVE_DELAY_MS, stopGraceMs / 2) - elapsedMs))
      const failures = await manager.stop(signalAtMs + stopGraceMs * STOP_SHARE - clock.monotonicMs())
      for (const { component, error } of failures) logger.warn({ component, error: String(error) }, 'a component did not stop in time')
      logger.info('instance stopped')
      resolveDone()
    }
  }
}

interface ReloadDependencies {
  readonly store: PlatformStore
  readonly advisor: PlatformAdvisor
  readonly clock: Clock
  readonly logger: Logger
}

function createReloader (path: string, initial: PlatformSettings, { store, advisor, clock, logger }: ReloadDependencies): SettingsReloader<PlatformSettings> {
  return new SettingsReloader<PlatformSettings>({
    initial,
    read: () => readSettings(path),
    reloadable: RELOADABLE_SETTINGS,
    onChanged: ({ storeAddress, advisorAddress }) => {
      if (storeAddress !== store.address) runInBackground(store.moveTo(storeAddress), logger, 'move to another store')
      if (advisorAddress !== advisor.address) runInBackground(advisor.moveTo(advisorAddress), logger, 'move to another advisor')
    },
    clock,
    logger
  })
}

function createReadinessServer (listen: string, isReady: () => boolean): JsonServer {
  return new JsonServer({
    name: 'readiness',
    listen,
    limits: PROBE_LIMITS,
    routes: [{ method: 'GET', pattern: READY_PATH, handle: async () => ({ status: isReady() ? 200 : 503, body: {} }) }]
  })
}

function createMetricsServer (listen: string, metrics: JobMetrics): JsonServer {
  return new JsonServer({
    name: 'metrics',
    listen,
    limits: PROBE_LIMITS,
    routes: [{
      method: 'GET',
      pattern: METRICS_PATH,
      handle: async ({ response }) => {
        const { contentType, body } = await metrics.render()
        response.writeHead(200, { 'content-type': contentType }).end(body)
        return undefined
      }
    }]
  })
}

function describeSettings ({ region, storeAddress, callerAddress, peerPort, metricsPort }: PlatformSettings): object {
  return { region, storeAddress, callerAddress, peerPort, metricsPort }
}
