/** Shows which data centres are evacuated, in the log and in metrics. */
import type { Logger } from '../../observability/logger.ts'
import type { JobMetrics } from '../../observability/jobMetrics.ts'
import { Evacuations } from './evacuations.ts'
import type { TargetSession } from './targetSession.ts'

/** Lines for each change; further names are only counted, since any number of keys may be written at once. */
const MAX_LINES_PER_CHANGE = 10
/** Names come from keys of the store, which may be long. */
const MAX_NAME_LENGTH = 100

/**
 * @example
 * report.update(watcher.evacuations, fleet.sessions)
 */
export class EvacuationReport {
  readonly #logger: Logger
  readonly #metrics: JobMetrics
  #reported = Evacuations.NONE

  constructor (logger: Logger, metrics: JobMetrics) {
    this.#logger = logger
    this.#metrics = metrics
  }

  /** Logs the difference to the evacuations of the last call. */
  update (evacuations: Evacuations, sessions: readonly TargetSession[]): void {
    const previous = this.#reported
    this.#reported = evacuations
    this.#metrics.setEvacuatedDataCentres(evacuations.size)
    this.#log('data centre is evacuated', evacuations.names.filter(name => !previous.covers(name)), sessions)
    this.#log('evacuation taken back', previous.names.filter(name => !evacuations.covers(name)), sessions)
  }

  /** Called at the end of the term. */
  close (): void {
    this.#metrics.setEvacuatedDataCentres(0)
  }

  #log (message: string, names: readonly string[], sessions: readonly TargetSession[]): void {
    for (const name of names.slice(0, MAX_LINES_PER_CHANGE)) {
      const inside = sessions.filter(({ ended, description }) => !ended && description.dataCentre === name)
      const details = { dataCentre: name.slice(0, MAX_NAME_LENGTH), targets: inside.length, runs: inside.reduce((sum, { assignments }) => sum + assignments.size, 0) }
      if (inside.length > 0) this.#logger.info(details, message)
      else this.#logger.warn(details, `${message}, but no target is known there`)
    }
    if (names.length > MAX_LINES_PER_CHANGE) this.#logger.warn({ further: names.length - MAX_LINES_PER_CHANGE }, `${message}: further names are not logged`)
  }
}
