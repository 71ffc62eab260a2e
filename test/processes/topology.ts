/** Data centres, instances, targets and addresses of a multi-process cluster. */
import { resources } from '../../src/model/resources.ts'
import type { TargetInfo } from '../../src/model/target.ts'

export interface DataCentreLayout {
  readonly name: string
  readonly region: string
  readonly instances: number
  readonly runners: number
  readonly workers: number
}

export interface InstanceInfo {
  readonly name: string
  readonly dataCentre: string
  readonly region: string
}

/** Addresses of one instance, as HOST:PORT. */
export interface InstanceAddresses {
  readonly caller: string
  readonly operator: string
  readonly peer: string
}

/** Below the lowest ephemeral port of common systems, which is 32,768 on Linux. */
export const FIRST_PORT = 20_000
const RUNNER_SLOTS = 8
const RUNNER_CONNECTIONS = 64
const WORKER_MILLICORES = 64_000
const WORKER_MEMORY_MB = 262_144

/** Data centres of one user, with 7 instances. */
export const SEVEN_INSTANCES: readonly DataCentreLayout[] = [
  { name: 'attica-a', region: 'attica', instances: 3, runners: 3, workers: 2 },
  { name: 'attica-b', region: 'attica', instances: 2, runners: 2, workers: 2 },
  { name: 'macedonia-a', region: 'macedonia', instances: 2, runners: 2, workers: 2 }
]

/** The same data centres with fewer processes. */
export const FOUR_INSTANCES: readonly DataCentreLayout[] = [
  { name: 'attica-a', region: 'attica', instances: 2, runners: 2, workers: 2 },
  { name: 'attica-b', region: 'attica', instances: 1, runners: 1, workers: 1 },
  { name: 'macedonia-a', region: 'macedonia', instances: 1, runners: 1, workers: 1 }
]

export function createInstances (layout: readonly DataCentreLayout[]): readonly InstanceInfo[] {
  return layout.flatMap(({ name: dataCentre, region, instances }) =>
    Array.from({ length: instances }, (_, index) => ({ name: `${dataCentre}-entry-${index + 1}`, dataCentre, region })))
}

/** Creates the targets of all data centres; each listens on a free port of the host. */
export function createTargets (layout: readonly DataCentreLayout[], host: string): readonly TargetInfo[] {
  return layout.flatMap(({ name: dataCentre, region, runners, workers }) => {
    const common = {
      address: `${host}:0`,
      dataCentre,
      region,
      connections: RUNNER_CONNECTIONS,
      features: { fencing: true, startBy: true, inventory: true, checkpoint: true, remembersEnded: true },
      leaving: false
    }
    const create = (type: TargetInfo['type'], index: number, capacity: TargetInfo['capacity']): TargetInfo =>
      ({ ...common, id: `${dataCentre}-${type}-${index + 1}`, type, rack: `${dataCentre}-rack-${index % 2 + 1}`, capacity })
    return [
      ...Array.from({ length: runners }, (_, index) => create('runner', index, resources({ slots: RUNNER_SLOTS }))),
      ...Array.from({ length: workers }, (_, index) =>
        create('worker', index, resources({ processors: WORKER_MILLICORES, memory: WORKER_MEMORY_MB })))
    ]
  })
}

/**
 * Returns a loopback host derived from the process id, so that concurrent test processes use different ones: no two of the
 * 4,194,304 process ids of Linux share one, and addresses that end in 0 or 255 are ordinary ones here. Outgoing connections
 * come from 127.0.0.1, so none can take a port of this host before a process listens on it.
 */
export function chooseHost (): string {
  const { pid } = process
  return `127.${100 + ((pid >> 15) & 0x7f)}.${(pid >> 8) & 0x7f}.${pid & 0xff}`
}

/**
 * Returns addresses on a host that no other process uses. The ports lie below the ephemeral range, from which the system
 * serves listeners on port 0, so that no stand-in takes one before its instance listens on it.
 */
export function assignAddresses (host: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${host}:${FIRST_PORT + index}`)
}
