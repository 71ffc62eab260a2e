/** Layout of the simulated cell: data centres, targets, teams and the requests of its callers. */
import { hashKey } from '../../src/configuration/keys.ts'
import type { Change } from '../../src/model/change.ts'
import type { Location } from '../../src/model/identity.ts'
import type { KindName } from '../../src/model/request.ts'
import { resources } from '../../src/model/resources.ts'
import type { TargetInfo } from '../../src/model/target.ts'
import type { Random } from '../../src/ports/random.ts'

export interface DataCentre extends Location {
  readonly instances: readonly string[]
}

export const DATA_CENTRES: readonly DataCentre[] = [
  { dataCentre: 'attica-a', region: 'attica', instances: ['a1', 'a2', 'a3'] },
  { dataCentre: 'attica-b', region: 'attica', instances: ['b1', 'b2'] },
  { dataCentre: 'macedonia-a', region: 'macedonia', instances: ['m1', 'm2'] }
]
const KEY_ID_LENGTH = 16
const RUNNERS = 2
const WORKERS = 2
/** Low enough that the runners become full. */
const RUNNER_SLOTS = 4
/** Low enough that requests of the team queue for it. */
export const ALPHA_LIMIT = 4
export const OPEN_QUEUE = 'counter'
export const KEYS: Readonly<Record<string, string>> = { alpha: 'agk_alpha', beta: 'agk_beta' }
/** A second key of beta, which operators withdraw. */
export const WITHDRAWN_KEY = 'agk_beta-second'
export const WRONG_KEY = 'agk_never-created'
const KINDS: readonly KindName[] = ['urgent', 'batch', 'service', 'gang']
const SHORT_RUN_MS = 2_000
/** Longer than the suspicion time-out and the replacement of the owner together. */
export const LONG_RUN_MS = 10_000
const SHORT_DEADLINE_MS = 8_000
export const LONG_DEADLINE_MS = 20_000

export function keyIdOf (key: string): string {
  return hashKey(key).slice(0, KEY_ID_LENGTH)
}

export function createTargets (): readonly TargetInfo[] {
  const features = { fencing: true, startBy: true, inventory: true, checkpoint: true, remembersEnded: true }
  return DATA_CENTRES.flatMap(({ dataCentre, region }) => Array.from({ length: RUNNERS + WORKERS }, (_, index): TargetInfo => {
    const common = { dataCentre, region, rack: `${dataCentre}-${index % 2}`, address: '', connections: 64, features, leaving: false }
    return index < RUNNERS
      ? { ...common, id: `${dataCentre}-runner-${index}`, type: 'runner', capacity: resources({ slots: RUNNER_SLOTS }) }
      : { ...common, id: `${dataCentre}-worker-${index}`, type: 'worker', capacity: resources({ processors: 8_000, memory: 16_384 }) }
  }))
}

export function createInitialChange (): Change {
  const keys = [['alpha', KEYS.alpha!], ['beta', KEYS.beta!], ['beta', WITHDRAWN_KEY]] as const
  return {
    id: 'change-1',
    version: 1,
    baseVersion: 0,
    operator: 'test',
    acceptedAt: 0,
    operations: [
      { type: 'set', path: '/teams/alpha', values: { share: 1, limitSlots: ALPHA_LIMIT } },
      { type: 'set', path: '/teams/beta', values: { share: 2 } },
      { type: 'set', path: '/teams/gamma', values: { share: 1 } },
      { type: 'set', path: `/queues/${OPEN_QUEUE}`, values: { open: true, team: 'gamma' } },
      ...keys.map(([team, key]) => ({ type: 'createKey' as const, team, keyId: keyIdOf(key), hash: hashKey(key) }))
    ]
  }
}

/** A request body with its team and API key. */
export interface CallerRequest {
  readonly team: string
  readonly key?: string
  readonly body: {
    readonly id: string
    readonly kind: KindName
    readonly queue?: string
    readonly size: Record<string, number>
    readonly tasks: number
    readonly deadlineMs: number
    readonly repeatable: boolean
    readonly payload: unknown
  }
}

export function createRequest (random: Random, id: string, overrides: { readonly kind?: KindName, readonly team?: string, readonly repeatable?: boolean } = {}): CallerRequest {
  const kind = overrides.kind ?? KINDS[random.integer(KINDS.length)]!
  const team = overrides.team ?? ['alpha', 'beta', 'gamma'][random.integer(3)]!
  const onRunner = kind === 'urgent' || (kind === 'batch' && random.integer(2) === 0)
  const long = kind !== 'urgent' && random.integer(4) === 0
  const size: Record<string, number> = onRunner ? { slots: 1 + random.integer(kind === 'batch' ? 3 : 1) } : { processors: 500 * (1 + random.integer(3)), memory: 512 }
  return {
    team,
    key: chooseKey(team, random),
    body: {
      id,
      kind,
      queue: team === 'gamma' ? OPEN_QUEUE : undefined,
      size,
      tasks: kind === 'gang' ? 2 + random.integer(2) : 1,
      deadlineMs: long ? LONG_DEADLINE_MS : SHORT_DEADLINE_MS,
      repeatable: overrides.repeatable ?? random.integer(2) === 0,
      payload: { runMs: long ? LONG_RUN_MS : random.integer(SHORT_RUN_MS), answer: { for: id, filler: 'x'.repeat(random.integer(200)) } }
    }
  }
}

function chooseKey (team: string, random: Random): string | undefined {
  if (team === 'gamma') return undefined
  const draw = random.integer(10)
  if (draw === 0) return WRONG_KEY
  return team === 'beta' && draw < 5 ? WITHDRAWN_KEY : KEYS[team]
}
