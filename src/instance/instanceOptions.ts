/** Options of an entry instance: its identity and location, its adapters, and its logger and metrics. */
import type { InstanceRef, Location } from '../model/identity.ts'
import type { Logger } from '../observability/logger.ts'
import type { Metrics } from '../observability/metrics.ts'
import type { Clock } from '../ports/clock.ts'
import type { InstanceList } from '../ports/instanceList.ts'
import type { PeerClient } from '../ports/peerClient.ts'
import type { Random } from '../ports/random.ts'
import type { Store } from '../ports/store.ts'
import type { TargetClient } from '../ports/targetClient.ts'

export interface InstanceOptions {
  readonly self: InstanceRef
  readonly location: Location
  readonly peerAddress: string
  /** Addresses of the peers to contact first. */
  readonly seeds: readonly string[]
  readonly store: Store
  readonly list: InstanceList
  readonly targetClient: TargetClient
  readonly peerClient: PeerClient
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}
