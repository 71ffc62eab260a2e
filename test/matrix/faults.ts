/** Faults of the matrix and the steps at which they are injected. */
import type { Cell, Step } from './cell.ts'
import { keyIdOf, WITHDRAWN_KEY } from './layout.ts'
import type { Node } from './node.ts'

export interface Fault {
  readonly durationMs?: number
  /** The fault must not cut off any open request. */
  readonly preservesOpenRequests?: boolean
  /** Instances may be unable to learn of changes, or to act on them, during the fault. */
  readonly delaysChanges?: boolean
  begin (cell: Cell, victim: Node): void
  end? (cell: Cell, victim: Node): void
}

const DELAY_MS = 1_500
const LIST_LAG_MS = 20_000
/** Longer than a task's lease plus its settlement. */
const LEASE_LAPSE_MS = 20_000
/** Longer than a takeover, and than the time for which a withdrawn key may still be accepted. */
const OUTAGE_MS = 14_000
const SLOW_STORE_DELAY_MS = 400
const MAX_EFFECT_DELAY_MS = 3_000

/** Returns a fault for a random one in `oneIn` calls. */
function oneCallIn<Value> (cell: Cell, oneIn: number, create: () => Value): () => Value | undefined {
  return () => cell.random.integer(oneIn) === 0 ? create() : undefined
}

function crash (cell: Cell, victim: Node): void {
  if (!victim.listens) return
  victim.crash()
  cell.setListed(victim, false)
}

function restart (cell: Cell, victim: Node): void {
  cell.setListed(victim, true)
  victim.start().catch(() => {})
}

function partition (sets: (cell: Cell) => ReadonlyArray<Set<string>>): Fault {
  return {
    durationMs: OUTAGE_MS,
    delaysChanges: true,
    begin: (cell, { location }) => { for (const set of sets(cell)) set.add(location.dataCentre) },
    end: (cell, { location }) => { for (const set of sets(cell)) set.delete(location.dataCentre) }
  }
}

function createStoreFault (choose: (cell: Cell) => Cell['chooseStoreFault']): Fault {
  return {
    preservesOpenRequests: true,
    delaysChanges: true,
    begin: cell => { cell.chooseStoreFault = choose(cell) },
    end: cell => { cell.chooseStoreFault = () => undefined }
  }
}

function createPeerFault (choose: (cell: Cell) => Cell['choosePeerFault']): Fault {
  return { delaysChanges: true, begin: cell => { cell.choosePeerFault = choose(cell) }, end: cell => { cell.choosePeerFault = () => undefined } }
}

function createTargetFault (choose: (cell: Cell) => Cell['chooseTargetFault']): Fault {
  return { begin: cell => { cell.chooseTargetFault = choose(cell) }, end: cell => { cell.chooseTargetFault = () => undefined } }
}

function targetsOf (cell: Cell, { location }: Node): Cell['targets'] {
  return cell.targets.filter(({ info }) => info.dataCentre === location.dataCentre)
}

export const FAULTS: Readonly<Record<string, Fault>> = {
  crash: { durationMs: OUTAGE_MS, begin: crash, end: restart },
  'restart with a new incarnation': {
    begin: (cell, victim) => {
      crash(cell, victim)
      restart(cell, victim)
    }
  },
  pause: { delaysChanges: true, begin: (_cell, victim) => victim.pause(), end: (_cell, victim) => victim.resume() },
  'lease expiry of a paused holder': {
    durationMs: LEASE_LAPSE_MS, delaysChanges: true, begin: (_cell, victim) => victim.pause(), end: (_cell, victim) => victim.resume()
  },
  'partition between data centres': partition(cell => [cell.partitionedFromPeers]),
  'partition from the store and the list': partition(cell => [cell.partitionedFromStore]),
  'partition from other data centres, the store and the list': partition(cell => [cell.partitionedFromPeers, cell.partitionedFromStore]),
  'store down': createStoreFault(() => () => ({ type: 'down' })),
  'store slow': createStoreFault(() => () => ({ type: 'delay', durationMs: SLOW_STORE_DELAY_MS })),
  'store answers lost after their effect': createStoreFault(cell => oneCallIn(cell, 2, () => ({ type: 'loseAnswer' }))),
  'store effects delayed': createStoreFault(cell => oneCallIn(cell, 3, () => ({ type: 'delayedEffect', durationMs: cell.random.integer(MAX_EFFECT_DELAY_MS) }))),
  'delayed list': {
    preservesOpenRequests: true, begin: cell => { cell.list.lagMs += LIST_LAG_MS }, end: cell => { cell.list.lagMs -= LIST_LAG_MS }
  },
  'late peer answers': createPeerFault(cell => oneCallIn(cell, 2, () => ({ type: 'delayAnswer', durationMs: DELAY_MS }))),
  'duplicated peer calls': createPeerFault(cell => oneCallIn(cell, 2, () => ({ type: 'duplicate' }))),
  'reordered peer calls': createPeerFault(cell => oneCallIn(cell, 2, () => ({ type: 'delay', durationMs: cell.random.integer(DELAY_MS) }))),
  'late target answers': createTargetFault(cell => oneCallIn(cell, 2, () => ({ type: 'delayAnswer', durationMs: DELAY_MS }))),
  'duplicated target calls': createTargetFault(cell => oneCallIn(cell, 2, () => ({ type: 'duplicate', afterMs: cell.random.integer(DELAY_MS) }))),
  'reordered target calls': createTargetFault(cell => oneCallIn(cell, 2, () => ({ type: 'delay', durationMs: cell.random.integer(DELAY_MS) }))),
  'lost target calls and answers': createTargetFault(cell => oneCallIn(cell, 3, () => ({ type: cell.random.integer(2) === 0 ? 'loseCall' : 'loseAnswer' }))),
  'targets fail every call': {
    begin: (cell, victim) => { for (const target of targetsOf(cell, victim)) target.failsEverything = true },
    end: (cell, victim) => { for (const target of targetsOf(cell, victim)) target.failsEverything = false }
  },
  'target crash': {
    begin: (cell, victim) => { for (const target of targetsOf(cell, victim).slice(1, 3)) target.crash() },
    end: (cell, victim) => { for (const target of targetsOf(cell, victim).slice(1, 3)) target.recover() }
  },
  'racing operators': {
    preservesOpenRequests: true,
    begin: (cell, victim) => {
      for (const [index, node] of [victim, ...cell.nodes].entries()) {
        if (node.serves) cell.change(node, [{ type: 'set', path: '/teams/beta', values: { share: index + 2 } }]).catch(() => {})
      }
    }
  },
  'planned drain': { preservesOpenRequests: true, begin: (cell, victim) => { cell.drain(victim).catch(() => {}) }, end: restart }
}

/** Operations that cause a step that would not happen otherwise. */
export const STEP_TRIGGERS: Readonly<Partial<Record<Step, (cell: Cell) => void>>> = {
  'hand over': cell => { cell.drain(cell.node('b1')).catch(() => {}) },
  drain: cell => { cell.drain(cell.node('a2')).catch(() => {}) },
  leave: cell => { cell.drain(cell.node('a2')).catch(() => {}) },
  reconfigure: cell => {
    cell.change(cell.node('m1'), [{ type: 'set', path: '/teams/alpha', values: { limitSlots: 3 } }]).catch(() => {})
  }
}

export const STEPS: readonly Step[] = ['claim', 'admit', 'place', 'send', 'run', 'answer', 'release', 'hand over', 'reconfigure', 'drain', 'leave']

/** Steps derived from a port call, which are observed before and after it. */
export const PHASED_STEPS: ReadonlySet<Step> = new Set<Step>(['claim', 'place', 'send', 'hand over', 'reconfigure', 'leave'])

const OPERATOR_RETRY_MS = 500

/** Operator actions of every case: withdraw a key and drain a target through an instance of another data centre, retried until accepted. */
export async function performOperatorActions (cell: Cell, victim: Node): Promise<void> {
  const target = 'attica-a-worker-2'
  const operations = [{ type: 'withdrawKey', keyId: keyIdOf(WITHDRAWN_KEY) }, { type: 'drain', scope: 'target', name: target }] as const
  for (;;) {
    const node = cell.nodes.find(other => other.serves && other.location.dataCentre !== victim.location.dataCentre)!
    const { answer, answeredAt } = await cell.change(node, operations, 'change-withdraw')
    if (answer?.outcome === 'accepted' && answeredAt !== undefined) {
      cell.observations.withdrawnKeys.set(WITHDRAWN_KEY, answeredAt)
      cell.observations.leavingTargets.set(target, answeredAt)
      return
    }
    await cell.clock.sleep(OPERATOR_RETRY_MS)
  }
}
