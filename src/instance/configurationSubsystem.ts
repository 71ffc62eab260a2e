/** Components that track the configuration, the membership and the instance list. */
import { ChangeLog } from '../configuration/changeLog.ts'
import { toSnapshot } from '../configuration/configurationState.ts'
import { FreshnessTracker } from '../configuration/freshness.ts'
import { KeyRing } from '../configuration/keys.ts'
import { AcceptorRegistry } from '../configuration/registry.ts'
import { ExchangeLoop } from '../membership/exchangeLoop.ts'
import { ListLoop } from '../membership/listLoop.ts'
import { MembershipTable } from '../membership/membershipTable.ts'
import type { InstanceRef } from '../model/identity.ts'
import { maximumResources, NO_RESOURCES } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'
import type { TargetInfo } from '../model/target.ts'
import type { ListSnapshot } from '../ports/instanceList.ts'
import { validateOperations } from '../settings/validate.ts'
import type { InstanceOptions } from './instanceOptions.ts'
import type { SelfDescription } from './reports/selfDescription.ts'
import { TeamSettingsSource } from './teamSettingsSource.ts'

export interface ConfigurationHooks {
  /** The current incarnation; a new one begins when the other instances removed this one from the members. */
  self (): InstanceRef
  describeSelf (): SelfDescription
  /** Called after the configuration or the instance list changed. */
  onChanged (): void
}

/** Values derived from one reading of the instance list. */
interface ListView {
  readonly snapshot: ListSnapshot | undefined
  readonly localTargets: readonly TargetInfo[]
  readonly largestLocalCapacity: Resources
}

export class ConfigurationSubsystem {
  readonly registry: AcceptorRegistry
  readonly log: ChangeLog
  readonly freshness: FreshnessTracker
  readonly membership: MembershipTable
  readonly exchange: ExchangeLoop
  readonly lists: ListLoop
  readonly settings: TeamSettingsSource
  readonly #options: InstanceOptions
  readonly #hooks: ConfigurationHooks
  #keys: KeyRing
  #refreshing: Promise<unknown> | undefined
  #listView: ListView | undefined

  constructor (options: InstanceOptions, hooks: ConfigurationHooks) {
    const { store, clock, random, location, peerClient, list, seeds } = options
    this.#options = options
    this.#hooks = hooks
    this.registry = new AcceptorRegistry({ store, clock })
    this.log = new ChangeLog({
      store,
      clock,
      random,
      validate: (state, operations) => validateOperations(toSnapshot(state), operations),
      mayAccept: () => this.registry.mayAccept
    })
    this.settings = new TeamSettingsSource(this.log.state)
    this.#keys = new KeyRing([])
    this.log.onChange(() => this.#applyConfiguration())
    this.freshness = new FreshnessTracker({ clock, log: this.log, registry: this.registry, get self () { return hooks.self() } })
    this.membership = new MembershipTable({ clock, dataCentre: location.dataCentre, get self () { return hooks.self() } })
    this.lists = new ListLoop({ list, clock, onSnapshot: async (snapshot, startedAt) => await this.#applyList(snapshot, startedAt) })
    this.exchange = new ExchangeLoop({
      clock,
      random,
      peers: peerClient,
      table: this.membership,
      tracker: this.freshness,
      log: this.log,
      registry: this.registry,
      describeSelf: () => hooks.describeSelf(),
      seeds,
      readList: () => this.lists.snapshot,
      keyGraceMs: () => this.settings.shortestKeyGraceMs(),
      onError: error => options.logger.error({ err: error }, 'exchange round failed')
    })
  }

  get keys (): KeyRing {
    return this.#keys
  }

  /** Targets of all data centres, as last listed. */
  listedTargets (): readonly TargetInfo[] {
    return this.lists.snapshot?.targets ?? []
  }

  /** Targets of this instance's data centre, as last listed. */
  localTargets (): readonly TargetInfo[] {
    return this.#viewList().localTargets
  }

  /** Maximum target capacity in this instance's data centre, computed separately for each dimension. */
  largestLocalCapacity (): Resources {
    return this.#viewList().largestLocalCapacity
  }

  /** Cached for each reading of the list, since every request needs it. */
  #viewList (): ListView {
    const { snapshot } = this.lists
    if (this.#listView === undefined || this.#listView.snapshot !== snapshot) {
      const { dataCentre } = this.#options.location
      const localTargets = this.listedTargets().filter(target => target.dataCentre === dataCentre)
      const largestLocalCapacity = localTargets.reduce((maximum, target) => maximumResources(maximum, target.capacity), NO_RESOURCES)
      this.#listView = { snapshot, localTargets, largestLocalCapacity }
    }
    return this.#listView
  }

  /** Reads the configuration and registers the instance; if the store is unavailable, the periodic loops retry. */
  async load (): Promise<void> {
    try {
      await this.log.load()
      await this.register()
    } catch (error) {
      this.#options.logger.warn({ err: error }, 'failed to read the configuration from the store or to register; retrying')
    }
  }

  /** Reads the store if the local configuration is older than the version; false if it is still older afterwards. */
  async catchUp (version: number): Promise<boolean> {
    if (this.log.version >= version) return true
    this.#refreshing ??= this.log.refresh().finally(() => { this.#refreshing = undefined })
    await this.#refreshing
    return this.log.version >= version
  }

  /** Registers the current incarnation as an acceptor of configuration changes. */
  async register (): Promise<void> {
    const { location, peerAddress } = this.#options
    await this.registry.register({ ref: this.#hooks.self(), dataCentre: location.dataCentre, peerAddress })
  }

  #applyConfiguration (): void {
    this.settings.update(this.log.state)
    this.#keys = new KeyRing(this.log.state.keys.values())
    this.#hooks.onChanged()
  }

  async #applyList (snapshot: ListSnapshot, startedAt: number): Promise<void> {
    this.membership.mergeList(snapshot.instances, startedAt)
    this.registry.observeList(snapshot.instances, startedAt)
    this.#hooks.onChanged()
    await this.registry.maintain()
  }
}
