/** The faults of the matrix, and the steps at which they strike. */
import type { Cell, Step } from './cell.ts'
import { keyIdOf, WITHDRAWN_KEY } from './layout.ts'
import type { Node } from './node.ts'

export interface Fault {
  readonly durationMs?: number
  /** No open request may be cut off by it. */
  readonly gentle?: boolean
  /** Instances may not learn of changes, or not act on them, while it lasts. */
  readonly blinds?: boolean
  begin (cell: Cell, victim: Node): void
  end? (cell: Cell, victim: Node): void
}

const LATE_MS = 1_500
const LAG_MS = 20_000
/** Longer than a task's lease and the time of its settlement. */
const LEASE_LAPSE_MS = 20_000
/** Longer than a takeover, and than the time for which a withdrawn key may work. */
const OUTAGE_MS = 14_000
const SLOW_STORE_MS = 400
const LATE_EFFECT_MS = 3_000

/** Strikes one call in so many. */
function sometimes<Value> (cell: Cell, oneIn: number, create: () => Value): () => Value | undefined {
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

function cut (sets: (cell: Cell) => ReadonlyArray<Set<string>>): Fault {
  return {
    durationMs: OUTAGE_MS,
    blinds: true,
    begin: (cell, { location }) => { for (const set of sets(cell)) set.add(location.dataCentre) },
    end: (cell, { location }) => { for (const set of sets(cell)) set.delete(location.dataCentre) }
  }
}

function storeFault (choose: (cell: Cell) => Cell['storeFault']): Fault {
  return {
    gentle: true,
    blinds: true,
    begin: cell => { cell.storeFault = choose(cell) },
    end: cell => { cell.storeFault = () => undefined }
  }
}

function peerFault (choose: (cell: Cell) => Cell['peerFault']): Fault {
  return { blinds: true, begin: cell => { cell.peerFault = choose(cell) }, end: cell => { cell.peerFault = () => undefined } }
}

function targetFault (choose: (cell: Cell) => Cell['targetFault']): Fault {
  return { begin: cell => { cell.targetFault = choose(cell) }, end: cell => { cell.targetFault = () => undefined } }
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
  pause: { blinds: true, begin: (_cell, victim) => victim.pause(), end: (_cell, victim) => victim.resume() },
  'lease lapse of a paused holder': {
    durationMs: LEASE_LAPSE_MS, blinds: true, begin: (_cell, victim) => victim.pause(), end: (_cell, victim) => victim.resume()
  },
  'cut between data centres': cut(cell => [cell.cutFromPeers]),
  'cut from the store and the list': cut(cell => [cell.cutFromStore]),
  'cut from everything': cut(cell => [cell.cutFromPeers, cell.cutFromStore]),
  'store down': storeFault(() => () => ({ type: 'down' })),
  'store slow': storeFault(() => () => ({ type: 'delay', durationMs: SLOW_STORE_MS })),
  'store answers lost after their effect': storeFault(cell => sometimes(cell, 2, () => ({ type: 'loseAnswer' }))),
  'store effects delayed': storeFault(cell => sometimes(cell, 3, () => ({ type: 'delayedEffect', durationMs: cell.random.integer(LATE_EFFECT_MS) }))),
  'list lagging': {
    gentle: true, begin: cell => { cell.list.lagMs += LAG_MS }, end: cell => { cell.list.lagMs -= LAG_MS }
  },
  'late peer answers': peerFault(cell => sometimes(cell, 2, () => ({ type: 'delayAnswer', durationMs: LATE_MS }))),
  'doubled peer calls': peerFault(cell => sometimes(cell, 2, () => ({ type: 'duplicate' }))),
  'reordered peer calls': peerFault(cell => sometimes(cell, 2, () => ({ type: 'delay', durationMs: cell.random.integer(LATE_MS) }))),
  'late target answers': targetFault(cell => sometimes(cell, 2, () => ({ type: 'delayAnswer', durationMs: LATE_MS }))),
  'doubled target calls': targetFault(cell => sometimes(cell, 2, () => ({ type: 'duplicate', afterMs: cell.random.integer(LATE_MS) }))),
  'reordered target calls': targetFault(cell => sometimes(cell, 2, () => ({ type: 'delay', durationMs: cell.random.integer(LATE_MS) }))),
  'lost target calls and answers': targetFault(cell => sometimes(cell, 3, () => ({ type: cell.random.integer(2) === 0 ? 'loseCall' : 'loseAnswer' }))),
  'targets fail everything': {
    begin: (cell, victim) => { for (const target of targetsOf(cell, victim)) target.failsEverything = true },
    end: (cell, victim) => { for (const target of targetsOf(cell, victim)) target.failsEverything = false }
  },
  'target crash': {
    begin: (cell, victim) => { for (const target of targetsOf(cell, victim).slice(1, 3)) target.crash() },
    end: (cell, victim) => { for (const target of targetsOf(cell, victim).slice(1, 3)) target.recover() }
  },
  'racing operators': {
    gentle: true,
    begin: (cell, victim) => {
      for (const [index, node] of [victim, ...cell.nodes].entries()) {
        if (node.serves) cell.change(node, [{ type: 'set', path: '/teams/beta', values: { share: index + 2 } }]).catch(() => {})
      }
    }
  },
  'planned drain': { gentle: true, begin: (cell, victim) => { cell.drain(victim).catch(() => {}) }, end: restart }
}

/** Activity without which a step does not happen. */
export const PREPARATIONS: Readonly<Partial<Record<Step, (cell: Cell) => void>>> = {
  'hand over': cell => { cell.drain(cell.node('b1')).catch(() => {}) },
  drain: cell => { cell.drain(cell.node('a2')).catch(() => {}) },
  leave: cell => { cell.drain(cell.node('a2')).catch(() => {}) },
  reconfigure: cell => {
    cell.change(cell.node('m1'), [{ type: 'set', path: '/teams/alpha', values: { limitSlots: 3 } }]).catch(() => {})
  }
}

export const STEPS: readonly Step[] = ['claim', 'admit', 'place', 'send', 'run', 'answer', 'release', 'hand over', 'reconfigure', 'drain', 'leave']

/** Steps that are told by a call, before and after it. */
export const PHASED_STEPS: ReadonlySet<Step> = new Set<Step>(['claim', 'place', 'send', 'hand over', 'reconfigure', 'leave'])

const OPERATOR_RETRY_MS = 500

/** What operators do in every case: withdraw a key and drain a target, at an instance of another data centre; again until it is accepted. */
export async function operate (cell: Cell, victim: Node): Promise<void> {
  const target = 'attica-a-worker-2'
  const operations = [{ type: 'withdrawKey', keyId: keyIdOf(WITHDRAWN_KEY) }, { type: 'drain', scope: 'target', name: target }] as const
  for (;;) {
    const node = cell.nodes.find(other => other.serves && other.location.dataCentre !== victim.location.dataCentre)!
    const { answer, answeredAt } = await cell.change(node, operations, 'change-withdraw')
    if (answer?.outcome === 'accepted' && answeredAt !== undefined) {
      cell.seen.withdrawnKeys.set(WITHDRAWN_KEY, answeredAt)
      cell.seen.leavingTargets.set(target, answeredAt)
      return
    }
    await cell.clock.sleep(OPERATOR_RETRY_MS)
  }
}
