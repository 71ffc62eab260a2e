/** Runs one instance with an in-memory store, instance list and stand-in targets in the same process, for trials. */
import { randomUUID } from 'node:crypto'
import { SystemClock } from '../adapters/clock/systemClock.ts'
import { HttpInstanceListServer } from '../adapters/list/httpInstanceListServer.ts'
import { MemoryInstanceList } from '../adapters/list/memoryInstanceList.ts'
import { HttpStoreServer } from '../adapters/store/httpStoreServer.ts'
import { MemoryStore } from '../adapters/store/memoryStore.ts'
import { StandInTarget } from '../adapters/target/standInTarget.ts'
import { StandInTargetServer } from '../adapters/target/standInTargetServer.ts'
import type { RunningInstance } from './runningInstance.ts'
import { LifecycleManager } from '../lifecycle/lifecycleManager.ts'
import type { Change } from '../model/change.ts'
import { resources } from '../model/resources.ts'
import type { TargetInfo } from '../model/target.ts'
import type { InstanceSettings } from '../settings/instanceSettings.ts'
import { startInstance } from './startInstance.ts'

const HOST = '127.0.0.1'
export const EMBEDDED_CALLER_ADDRESS = `${HOST}:7400`
export const EMBEDDED_OPERATOR_ADDRESS = `${HOST}:7401`
const PEER_ADDRESS = `${HOST}:7402`
const STORE_ADDRESS = `${HOST}:7403`
const LIST_ADDRESS = `${HOST}:7404`
const FIRST_TARGET_PORT = 7_410
/** A fixed token is acceptable: only loopback addresses are served, and all data is lost on exit. */
export const EMBEDDED_OPERATOR_TOKEN = 'embedded-operator-token'
const INSTANCE_NAME = 'embedded'
const LOCATION = { dataCentre: 'local', region: 'local' }
const STOP_TIMEOUT_MS = 10_000
const RUNNERS = 2
const WORKERS = 2

/**
 * Starts the instance and its in-memory services; the open queue `demo` accepts requests without a key.
 *
 * @example
 * const running = await startEmbedded()
 * await running.stop()
 */
export async function startEmbedded (): Promise<RunningInstance> {
  const clock = new SystemClock()
  const store = new MemoryStore(clock)
  await store.put('configuration/change/1', JSON.stringify(createFirstChange()), { expectedVersion: 0 })
  const targets = createTargets()
  const list = new MemoryInstanceList(clock, {
    instances: [{ name: INSTANCE_NAME, ...LOCATION, peerAddress: PEER_ADDRESS, leaving: false }], targets
  })
  const manager = new LifecycleManager(STOP_TIMEOUT_MS)
  manager.add(new HttpStoreServer(store, STORE_ADDRESS))
  manager.add(new HttpInstanceListServer(list, LIST_ADDRESS))
  manager.add(new StandInTargetServer(targets.map(info => new StandInTarget(info, clock))))
  await manager.start()
  const instance = await startInstance(createSettings())
  process.stdout.write(JSON.stringify({ callers: EMBEDDED_CALLER_ADDRESS, operators: EMBEDDED_OPERATOR_ADDRESS, token: EMBEDDED_OPERATOR_TOKEN }) + '\n')
  return { ...instance, stopped: instance.stopped.then(async () => { await manager.stop() }) }
}

function createFirstChange (): Change {
  return {
    id: randomUUID(),
    version: 1,
    baseVersion: 0,
    operator: INSTANCE_NAME,
    acceptedAt: Date.now(),
    operations: [
      { type: 'set', path: '/teams/demo', values: { share: 1 } },
      { type: 'set', path: '/queues/demo', values: { open: true, team: 'demo' } }
    ]
  }
}

function createTargets (): readonly TargetInfo[] {
  const common = { ...LOCATION, connections: 64, leaving: false, features: { fencing: true, startBy: true, inventory: true, checkpoint: true, remembersEnded: true } }
  const runners = Array.from({ length: RUNNERS }, (_, index): TargetInfo => ({
    ...common, id: `runner-${index + 1}`, type: 'runner', rack: 'rack-1', address: `${HOST}:${FIRST_TARGET_PORT + index}`, capacity: resources({ slots: 8 })
  }))
  const workers = Array.from({ length: WORKERS }, (_, index): TargetInfo => ({
    ...common,
    id: `worker-${index + 1}`,
    type: 'worker',
    rack: 'rack-1',
    address: `${HOST}:${FIRST_TARGET_PORT + RUNNERS + index}`,
    capacity: resources({ processors: 64_000, memory: 262_144 })
  }))
  return [...runners, ...workers]
}

function createSettings (): InstanceSettings {
  return {
    ...LOCATION,
    name: INSTANCE_NAME,
    callerAddress: EMBEDDED_CALLER_ADDRESS,
    operatorAddress: EMBEDDED_OPERATOR_ADDRESS,
    peerAddress: PEER_ADDRESS,
    storeAddress: STORE_ADDRESS,
    listAddress: LIST_ADDRESS,
    peers: [],
    peerSecret: 'embedded-peer-secret',
    operatorToken: EMBEDDED_OPERATOR_TOKEN,
    logLevel: 'info',
    bodyLimitBytes: 4 * 1024 * 1024,
    connectionLimit: 1_024,
    requestTimeoutMs: 15_000,
    clientMemoryBytes: 32 * 1024 * 1024,
    headerTimeoutMs: 10_000,
    answerTimeoutMs: 60_000,
    idleTimeoutMs: 60_000,
    pipelinedRequests: 16,
    connectTimeoutMs: 500,
    storeTimeoutMs: 2_000,
    listTimeoutMs: 2_000,
    peerTimeoutMs: 1_000,
    stopTimeoutMs: STOP_TIMEOUT_MS,
    leaveDelayMs: 0
  }
}
