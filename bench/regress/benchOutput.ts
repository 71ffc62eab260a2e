/** Reads what the users' bench prints at the end of a run. */

/** One day of a score or of a single run. */
export interface PlayedDay {
  readonly day: string
  readonly worth: number
  readonly served: number
  readonly refused: number
  readonly failed: number
  /** Text of the last column: the weakest part, or the broken rules. */
  readonly remark: string
}

export interface BenchOutput {
  readonly days: readonly PlayedDay[]
  /** Undefined if the run prints no gate. */
  readonly gatePassed?: boolean
  /** Days of a hunt, and those with a broken rule; undefined if the run is no hunt. */
  readonly hunt?: { readonly days: number, readonly broken: number }
}

const DAY_ROW = /^(\S+)\s+\d+\/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+(.*)$/
const HUNT_END = /^(\d+) days?, (\d+) with a rule broken/
const GATE = /^GATE (passed|failed)/

/**
 * Parses the standard output of a run; lines of other forms are skipped.
 *
 * @example
 * const { days, gatePassed } = parseBenchOutput(stdout)
 */
export function parseBenchOutput (text: string): BenchOutput {
  const days: PlayedDay[] = []
  let gatePassed: boolean | undefined
  let hunt: BenchOutput['hunt']
  for (const line of text.split('\n')) {
    const row = DAY_ROW.exec(line)
    if (row !== null) {
      const [, day = '', worth, served, refused, failed, remark = ''] = row
      days.push({ day, worth: Number(worth), served: Number(served), refused: Number(refused), failed: Number(failed), remark })
    }
    const gate = GATE.exec(line)
    if (gate !== null) gatePassed = (gatePassed ?? true) && gate[1] === 'passed'
    const end = HUNT_END.exec(line)
    if (end !== null) hunt = { days: Number(end[1]), broken: Number(end[2]) }
  }
  return { days, ...(gatePassed === undefined ? {} : { gatePassed }), ...(hunt === undefined ? {} : { hunt }) }
}
