/** The configuration components of one instance, on an in-memory store. */
import type { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { MembershipTable } from '../../membership/membershipTable.ts'
import type { InstanceDigest } from '../../model/digest.ts'
import { NO_RESOURCES } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import { ChangeLog } from '../changeLog.ts'
import type { ChangeDraft } from '../changeLog.ts'
import { FreshnessTracker } from '../freshness.ts'
import { AcceptorRegistry } from '../registry.ts'
import type { MemoryStore, StoreClient } from './memoryStore.ts'

export interface TestNode {
  readonly ref: { readonly name: string, readonly incarnation: string }
  readonly dataCentre: string
  readonly client: StoreClient
  readonly log: ChangeLog
  readonly registry: AcceptorRegistry
  readonly tracker: FreshnessTracker
  readonly table: MembershipTable
  readonly describe: () => InstanceDigest
}

export function createLog (client: StoreClient, clock: Clock, seed = 1): ChangeLog {
  return new ChangeLog({ store: client, clock, random: new SeededRandom(seed), validate: () => [], mayAccept: () => true })
}

export function createNode (
  store: MemoryStore, clock: Clock | ManualClock, name: string, dataCentre: string, incarnation = '1'
): TestNode {
  const client = store.connect()
  const ref = { name, incarnation }
  const registry = new AcceptorRegistry({ store: client, clock })
  const log = new ChangeLog({
    store: client, clock, random: new SeededRandom(1), validate: () => [], mayAccept: () => registry.mayAccept
  })
  const tracker = new FreshnessTracker({ clock, self: ref, log, registry })
  const table = new MembershipTable({ clock, self: ref, dataCentre })
  const describe = (): InstanceDigest => ({
    ref,
    dataCentre,
    region: 'east',
    peerAddress: `${name}:1`,
    state: 'serving',
    configurationVersion: log.version,
    heardAge: 0,
    ...tracker.ownAges(),
    free: NO_RESOURCES,
    largestFree: NO_RESOURCES,
    queued: 0,
    teams: []
  })
  return { ref, dataCentre, client, log, registry, tracker, table, describe }
}

export function draft (id: string, baseVersion: number, share = 1, path: `/${string}` = '/'): ChangeDraft {
  return { id, baseVersion, operator: 'eleni', operations: [{ type: 'set', path, values: { share } }] }
}
