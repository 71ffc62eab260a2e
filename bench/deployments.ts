/** The two deployments of section 1 of the design document, and figures for clusters of other sizes. */
import { resources } from '../src/model/resources.ts'
import type { Resources } from '../src/model/resources.ts'
import type { TargetInfo, TargetType } from '../src/model/target.ts'

export interface DataCentre {
  readonly name: string
  readonly region: string
}

export interface Deployment {
  readonly name: string
  readonly dataCentres: readonly DataCentre[]
  readonly instances: number
  readonly runners: number
  readonly workers: number
  readonly workerCapacity: Resources
  readonly teams: readonly TeamShare[]
}

export interface TeamShare {
  readonly team: string
  readonly share: number
}

const WORKERS_PER_RACK = 8
const RUNNER_SLOTS = 8
const RUNNER_CONNECTIONS = 64
const MB_PER_GB = 1_024

/** A few large teams and several small ones. */
const SHARES = [4, 3, 2, 1, 1, 1]

function createTeams (names: readonly string[]): readonly TeamShare[] {
  return names.map((team, index) => ({ team, share: SHARES[index % SHARES.length]! }))
}

export const KLADOSEIRA: Deployment = {
  name: 'Kladoseira',
  dataCentres: [{ name: 'attica-a', region: 'attica' }, { name: 'attica-b', region: 'attica' }, { name: 'macedonia-a', region: 'macedonia' }],
  instances: 7,
  runners: 30,
  workers: 30,
  workerCapacity: resources({ processors: 64_000, memory: 256 * MB_PER_GB }),
  teams: createTeams(['renders', 'stock', 'prices', 'layout', 'samples', 'archive'])
}

export const TAMRALIPTA: Deployment = {
  name: 'Tamralipta',
  dataCentres: [{ name: 'howrah', region: 'kolkata' }, { name: 'salt-lake', region: 'kolkata' }, { name: 'matigara', region: 'siliguri' }],
  instances: 7,
  runners: 30,
  workers: 30,
  workerCapacity: resources({ processors: 32_000, memory: 64 * MB_PER_GB }),
  teams: createTeams(['orders-a', 'orders-b', 'orders-c', 'restock', 'counter', 'audit'])
}

/** Data centres of the largest planned cluster: 12 in 4 regions. */
export const TWELVE_DATA_CENTRES: readonly DataCentre[] = Array.from({ length: 12 }, (_, index) =>
  ({ name: `centre-${index}`, region: `region-${index % 4}` }))

/** Creates the targets of a deployment, distributed round-robin over its data centres. */
export function createTargets ({ dataCentres, runners, workers, workerCapacity }: Deployment): readonly TargetInfo[] {
  const create = (type: TargetType, index: number, capacity: Resources): TargetInfo => {
    const { name, region } = dataCentres[index % dataCentres.length]!
    const rack = `${name}-rack-${Math.floor(index / dataCentres.length / WORKERS_PER_RACK)}`
    const features = { fencing: true, startBy: true, inventory: true, checkpoint: true, remembersEnded: true }
    return {
      id: `${type}-${index}`, type, address: '', dataCentre: name, region, rack, capacity, connections: RUNNER_CONNECTIONS, features, leaving: false
    }
  }
  return [
    ...Array.from({ length: runners }, (_, index) => create('runner', index, resources({ slots: RUNNER_SLOTS }))),
    ...Array.from({ length: workers }, (_, index) => create('worker', index, workerCapacity))
  ]
}

/** Figures of section 1 of the design document for the size in two years; the number of instances is the largest one measured. */
export const TARGET_SIZE_WORKERS = 2_600
export const TARGET_SIZE_TASKS = 11_000
export const TARGET_SIZE_INSTANCES = 31
