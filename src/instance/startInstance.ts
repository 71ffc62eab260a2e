/** Runs one entry instance as a process, with its servers, clients and graceful shutdown. */
import { randomBytes } from 'node:crypto'
import { CallerServer } from '../adapters/caller/callerServer.ts'
import { SystemClock } from '../adapters/clock/systemClock.ts'
import { HttpInstanceList } from '../adapters/list/httpInstanceList.ts'
import { OperatorServer } from '../adapters/operator/operatorServer.ts'
import { ConnectPeerClient } from '../adapters/peer/connectPeerClient.ts'
import { ConnectPeerServer } from '../adapters/peer/connectPeerServer.ts'
import { SeededRandom } from '../adapters/random/seededRandom.ts'
import { HttpStore } from '../adapters/store/httpStore.ts'
import { HttpTargetClient } from '../adapters/target/httpTargetClient.ts'
import type { RunningInstance } from './runningInstance.ts'
import type { Clock } from '../ports/clock.ts'
import { logUnexpectedError } from '../observability/unexpectedErrors.ts'
import { LifecycleManager } from '../lifecycle/lifecycleManager.ts'
import { createLogger } from '../observability/logger.ts'
import type { Logger } from '../observability/logger.ts'
import { Metrics } from '../observability/metrics.ts'
import type { InstanceSettings } from '../settings/instanceSettings.ts'
import { EntryInstance } from './entryInstance.ts'
import { MeteredStore } from './meteredStore.ts'

const INCARNATION_BYTES = 8

/**
 * Starts an instance. It stops on `stop`, on an operator's drain, or when the platform's instance list marks it as leaving.
 *
 * @example
 * const running = await startInstance(readInstanceSettings('entry-1.ini', bytes))
 * await running.stopped
 */
export async function startInstance (settings: InstanceSettings): Promise<RunningInstance> {
  const { name, dataCentre, region, peerAddress, peerSecret, operatorToken, stopTimeoutMs, leaveDelayMs } = settings
  const clock = new SystemClock()
  const logger = createLogger({ level: settings.logLevel, instance: name, dataCentre, secrets: [peerSecret, operatorToken] })
  const metrics = new Metrics()
  const store = new HttpStore({ address: settings.storeAddress, callTimeoutMs: settings.storeTimeoutMs, connectTimeoutMs: settings.connectTimeoutMs })
  const list = new HttpInstanceList({ address: settings.listAddress, callTimeoutMs: settings.listTimeoutMs })
  const targetClient = new HttpTargetClient({ connectTimeoutMs: settings.connectTimeoutMs })
  const peerClient = new ConnectPeerClient(peerSecret, settings.peerTimeoutMs)
  const instance = new EntryInstance({
    self: { name, incarnation: randomBytes(INCARNATION_BYTES).toString('hex') },
    location: { dataCentre, region },
    peerAddress,
    seeds: settings.peers,
    store: new MeteredStore(store, metrics),
    list,
    targetClient,
    peerClient,
    clock,
    random: SeededRandom.fromEntropy(),
    logger,
    metrics
  })
  const manager = new LifecycleManager(stopTimeoutMs)
  for (const component of [store, list, targetClient.component, peerClient]) manager.add(component)
  manager.add(new ConnectPeerServer(peerAddress, peerSecret, instance.peers))
  manager.add({ name: 'entry instance', start: async () => await instance.start(), stop: async () => await instance.stop() })
  manager.add(createOperatorServer(settings, instance, logger))
  manager.add(createCallerServer(settings, instance, { logger, metrics }))
  await manager.start()
  return createRunningInstance({ instance, manager, logger, clock, stopTimeoutMs, leaveDelayMs })
}

function createOperatorServer (settings: InstanceSettings, instance: EntryInstance, logger: Logger): OperatorServer {
  return new OperatorServer(instance.operators, {
    listen: settings.operatorAddress,
    token: settings.operatorToken,
    requestTimeoutMs: settings.requestTimeoutMs,
    onError: error => logger.error({ err: error }, 'operator request failed')
  })
}

function createCallerServer (settings: InstanceSettings, instance: EntryInstance, { logger, metrics }: { readonly logger: Logger, readonly metrics: Metrics }): CallerServer {
  const { callerAddress: address, clientMemoryBytes: memoryBytes } = settings
  return new CallerServer({
    ...settings,
    address,
    memoryBytes,
    onRefused: reason => metrics.countRefusedClient(reason),
    onSummary: summary => logger.warn(summary, 'clients refused or closed to protect the instance')
  }, instance.callers)
}

interface RunningInstanceOptions {
  readonly instance: EntryInstance
  readonly manager: LifecycleManager
  readonly logger: Logger
  readonly clock: Clock
  readonly stopTimeoutMs: number
  readonly leaveDelayMs: number
}

/**
 * On shutdown, readiness turns false, targets and allotments are handed over, open requests end, and then the components
 * stop. The instance keeps listening for `leaveDelayMs` at least, because the load balancer still sends it connections.
 */
function createRunningInstance ({ instance, manager, logger, clock, stopTimeoutMs, leaveDelayMs }: RunningInstanceOptions): RunningInstance {
  let stopping: Promise<void> | undefined
  let markStopped: () => void = () => {}
  const stopped = new Promise<void>(resolve => { markStopped = resolve })
  const stopOnce = async (): Promise<void> => {
    try {
      await Promise.all([instance.drain(AbortSignal.timeout(stopTimeoutMs)), clock.sleep(leaveDelayMs)])
    } catch (error) {
      logger.warn({ err: error }, 'graceful shutdown timed out; aborting the open requests')
    }
    for (const { component, error } of await manager.stop()) logger.warn({ component, err: error }, 'component failed to stop cleanly')
    logger.info('instance stopped')
    markStopped()
  }
  const stop = async (): Promise<void> => {
    stopping ??= stopOnce()
    await stopping
  }
  instance.drainRequested.then(stop).catch((error: unknown) => logger.error({ err: error }, 'graceful shutdown failed'))
  return { stop, stopped, logUnexpectedError: error => logUnexpectedError(logger, error) }
}
