/** Generates the clocks and start times with which incarnations of a simulated target begin. */
import fc from 'fast-check'
import type { IncarnationStart } from './simulatedTarget.ts'

/** Late enough that a clock can begin far behind, and a start time step back. */
export const INITIAL_CLOCK_MS = 2_000_000
export const INITIAL_BORN_MS = 1_000_000
/** The coordinator asks for leases of this length in the model. */
const LEASE_MS = 9_500
/** Beyond this difference no answer is taken for one of the earlier incarnation. */
const CONTINUED_MS = 2_500

const differing = (min: number, max: number): fc.Arbitrary<IncarnationStart> => fc.integer({ min, max }).map(clockDifferenceMs => ({ clockDifferenceMs }))

/** By kind: what the clock of the next incarnation shows, compared with that of the earlier one. */
const CLOCKS = {
  zero: fc.constant<IncarnationStart>({ clockMs: 0 }),
  behind: differing(-1_500_000, -LEASE_MS),
  behindWithinLease: differing(-LEASE_MS, -CONTINUED_MS),
  continued: fc.oneof(differing(-40, 40), differing(-500, 500), differing(-CONTINUED_MS, CONTINUED_MS)),
  equal: fc.constant<IncarnationStart>({ clockDifferenceMs: 0 }),
  aheadWithinLease: differing(CONTINUED_MS, LEASE_MS),
  aheadBeyondLease: differing(LEASE_MS, 1_000_000)
}
const anyClock = fc.oneof(CLOCKS.zero, CLOCKS.behind, CLOCKS.behindWithinLease, { weight: 3, arbitrary: CLOCKS.continued }, CLOCKS.equal, CLOCKS.aheadWithinLease, CLOCKS.aheadBeyondLease)

/** Clocks of targets run up to 2% slow or fast. */
const clockRate = fc.oneof({ weight: 1, arbitrary: fc.constant(1) }, { weight: 2, arbitrary: fc.integer({ min: 980, max: 1_020 }).map(rate => rate / 1_000) })

/** The clock rate of the first incarnations. */
export function initialClockRateOf (selection = 'any'): fc.Arbitrary<number> {
  return selection.endsWith('-steady') ? fc.constant(1) : clockRate
}

/** A wall clock that was set back while the target restarted. */
const bornSteppedBack = fc.oneof(fc.constant(-1), fc.integer({ min: -10_000, max: -1 })).map(bornDifferenceMs => ({ bornDifferenceMs }))

/** With one kind of clock: the kind itself; `KIND-steady` with clocks that run at the right speed; `KIND-set-back` with a start time that steps back. */
export function restartsOf (selection = 'any'): fc.Arbitrary<IncarnationStart> {
  const [kind = 'any', variant] = selection.split(/-(.*)/)
  const clock = kind === 'any' ? anyClock : (CLOCKS as Readonly<Record<string, fc.Arbitrary<IncarnationStart>>>)[kind]
  if (clock === undefined) throw new Error(`${kind} is none of any, ${Object.keys(CLOCKS).join(', ')}`)
  const rate = variant === 'steady' ? fc.constant(1) : clockRate
  const born: fc.Arbitrary<IncarnationStart> = variant === 'set-back' ? bornSteppedBack : selection === 'any' ? fc.oneof({ weight: 4, arbitrary: fc.constant({}) }, { weight: 1, arbitrary: bornSteppedBack }) : fc.constant({})
  return fc.tuple(clock, rate, born).map(([start, clockRate, bornStart]) => ({ ...start, ...clockRate === 1 ? {} : { clockRate }, ...bornStart }))
}
