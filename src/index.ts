/**
 * Public API of the library: coordination modules for embedding in other programs. Each module gets its
 * clock, random numbers, store and peers through the ports and starts nothing by itself. Modules with
 * background work implement `Component`, which the life-cycle manager starts and stops.
 *
 * - Ownership: `OwnershipManager` assigns each target to one instance of a data centre, under an epoch
 *   that fences earlier owners; `planAssignment` computes the intended owners.
 * - Limits: `AllotmentManager` enforces a team's limit across instances, without a store call for each
 *   task.
 * - At-most-once execution: `ClaimLog` records claimed identities in batches; `ClaimClient` claims through
 *   the instance responsible for the identity.
 * - Configuration: `ChangeLog` is an append-only log with increasing versions, `FreshnessTracker` bounds the
 *   age of the known configuration, `AcceptorRegistry` tracks the instances that accept changes.
 * - Membership: `MembershipTable` holds what instances report about each other; `ExchangeLoop` and
 *   `ListLoop` update it.
 * - Placement: `TargetPool` reserves capacity; `FairQueue` orders waiting requests and bounds their number
 *   and size.
 * - Shares: `ShareLedger` computes entitlements and plans preemption.
 * - Retries: `RetryBudget` and `decideRetry` limit retries; `TargetBreaker` is a circuit breaker for
 *   failing targets.
 * - Usage: `UsageEstimator` estimates the size to reserve from usage reports.
 * - Routing: `chooseInstance` selects the instance for a request; `CrossRegionBudget` limits the bytes
 *   sent between regions.
 * - Life cycle: `LifecycleManager` starts and stops components in order.
 * - In-memory adapters for tests: clock, store, peers, instance list and targets, with fault injection.
 */

// Model
export * from './model/change.ts'
export * from './model/digest.ts'
export * from './model/errors.ts'
export * from './model/identity.ts'
export * from './model/request.ts'
export * from './model/resources.ts'
export * from './model/target.ts'
export * from './model/verdict.ts'

// Ports
export type * from './ports/callerHandler.ts'
export type * from './ports/clock.ts'
export type * from './ports/instanceList.ts'
export type * from './ports/peerClient.ts'
export type * from './ports/random.ts'
export type * from './ports/store.ts'
export type * from './ports/targetClient.ts'

// Ownership
export { OwnershipManager } from './scheduler/ownership/ownershipManager.ts'
export type { LossReason, OwnershipEvents } from './scheduler/ownership/ownershipEvents.ts'
export type { MembershipView, OwnershipDependencies } from './scheduler/ownership/ownershipManager.ts'
export { planAssignment } from './scheduler/ownership/planAssignment.ts'

// Limits
export { AllotmentManager } from './scheduler/limits/allotmentManager.ts'
export type { AllotmentDependencies, AllotmentStatus } from './scheduler/limits/allotmentManager.ts'

// At most once
export { ClaimLog } from './scheduler/claims/claimLog.ts'
export { ClaimClient } from './scheduler/claims/claimClient.ts'
export type { ClaimClientDependencies, ClaimPeer } from './scheduler/claims/claimClient.ts'

// Configuration
export { ChangeLog, ConfigurationUnreadError } from './configuration/changeLog.ts'
export type { ChangeDraft, ChangeListener, ChangeLogOptions, ReadListener, RefreshResult, SubmitResult, Validate } from './configuration/changeLog.ts'
export { findSetting, isDraining } from './configuration/configurationState.ts'
export type { ConfigurationState, FoundSetting, SettingScope } from './configuration/configurationState.ts'
export { FreshnessTracker } from './configuration/freshness.ts'
export type { FreshnessOptions, OwnAges } from './configuration/freshness.ts'
export { AcceptorRegistry, RegistryBusyError } from './configuration/registry.ts'
export type { Acceptor, AcceptorRegistryOptions } from './configuration/registry.ts'

// Membership
export { MembershipTable } from './membership/membershipTable.ts'
export type { Member, MembershipOptions } from './membership/membershipTable.ts'
export { ExchangeLoop } from './membership/exchangeLoop.ts'
export type { ExchangeLoopOptions } from './membership/exchangeLoop.ts'
export { ListLoop } from './membership/listLoop.ts'
export type { ListListener, ListLoopOptions } from './membership/listLoop.ts'

// Placement and queue
export { findWorkload, workloads } from './workloads/registry.ts'
export type { PlacementCandidate, PlacementContext, PlacementPolicy, Urgency, WorkloadDefinition } from './workloads/registry.ts'
export { TargetPool } from './scheduler/placement/targetPool.ts'
export type { Assignment, PlacementQuery, PlaceResult, TargetView } from './scheduler/placement/targetPool.ts'
export { FairQueue, MAXIMUM_QUEUE_BYTES, MAXIMUM_QUEUE_ENTRIES } from './scheduler/queue/fairQueue.ts'
export type { Acceptance, FairQueueOptions, PushResult, QueueEntry } from './scheduler/queue/fairQueue.ts'

// Shares, retries, usage
export { ShareLedger } from './scheduler/shares/shareLedger.ts'
export type { PreemptionCandidate, PreemptionPlan, PreemptionRequest, UrgentNeed } from './scheduler/shares/shareLedger.ts'
export { RetryBudget } from './scheduler/retries/retryBudget.ts'
export { decideRetry } from './scheduler/retries/retryPolicy.ts'
export type { AttemptOutcome, GiveUpReason, RetryDecision, RetryQuestion } from './scheduler/retries/retryPolicy.ts'
export { TargetBreaker } from './scheduler/breaker/targetBreaker.ts'
export type { BreakerChange } from './scheduler/breaker/targetBreaker.ts'
export { UsageEstimator } from './scheduler/usage/usageEstimator.ts'

// Routing
export { chooseInstance, CrossRegionBudget } from './scheduler/routing/router.ts'
export type { CrossRegionAllowance, LocalView, Route, RoutingContext, RoutingRequest } from './scheduler/routing/router.ts'

// Life cycle
export { LifecycleManager } from './lifecycle/lifecycleManager.ts'
export type { StopFailure } from './lifecycle/lifecycleManager.ts'
export type { Component } from './lifecycle/component.ts'

// Adapters
export { SystemClock } from './adapters/clock/systemClock.ts'
export { SeededRandom } from './adapters/random/seededRandom.ts'

// In-memory adapters, for tests
export { ManualClock } from './adapters/clock/manualClock.ts'
export { MemoryStore } from './adapters/store/memoryStore.ts'
export type { StoreMethod } from './adapters/store/memoryStore.ts'
export { FaultyStore } from './adapters/store/faultyStore.ts'
export type { ChooseStoreFault, StoreCall, StoreFault } from './adapters/store/faultyStore.ts'
export { MemoryInstanceList } from './adapters/list/memoryInstanceList.ts'
export { MemoryPeerNetwork, PeerLostError } from './adapters/peer/memoryPeerNetwork.ts'
export type { ChoosePeerFault, PeerCall, PeerFault, PeerMethod } from './adapters/peer/memoryPeerNetwork.ts'
export { MemoryTargetClient } from './adapters/target/memoryTargetClient.ts'
export { StandInTarget } from './adapters/target/standInTarget.ts'
export type { ChooseTargetFault, TargetCall, TargetFault, TargetMethod } from './adapters/target/targetFault.ts'
