/** Which part of the new jobs a coordinator takes that has no time left, and which work it puts off. */

/** From this busy part of its time on a coordinator has fallen behind: answers wait for the work before them. */
const SATURATED_PART = 0.95
/** Saturated measurements in a row before jobs are refused; one comes with each change of office. */
const SATURATED_MEASUREMENTS = 2
/** Factor by which the admitted part shrinks with each saturated measurement, and part by which it grows with each other one. */
const SHRINK_FACTOR = 0.75
const GROWTH = 0.1
/** Some jobs are always taken, so that the state of the coordinator goes on being measured by real work. */
const SMALLEST_PART = 0.25

/**
 * Adapts the admitted part to the time that the coordinator has left: callers wait 3 s, so that a job that is accepted
 * late is worth less than one that is refused at once and comes back.
 *
 * @example
 * control.noteBusy(0.99)
 * if (!control.admits(Math.random())) return limited()
 */
export class OverloadControl {
  #saturatedInRow = 0
  #admittedPart = 1

  /** Notes the busy part of the time since the last note, from 0 to 1. */
  noteBusy (part: number): void {
    this.#saturatedInRow = part >= SATURATED_PART ? this.#saturatedInRow + 1 : 0
    if (this.#saturatedInRow >= SATURATED_MEASUREMENTS) this.#admittedPart = Math.max(SMALLEST_PART, this.#admittedPart * SHRINK_FACTOR)
    else if (!this.saturated) this.#admittedPart = Math.min(1, this.#admittedPart + GROWTH)
  }

  /** Whether work that has time should wait. */
  get saturated (): boolean {
    return this.#saturatedInRow > 0
  }

  /** Part of the new jobs that are taken, from 0 to 1. */
  get admittedPart (): number {
    return this.#admittedPart
  }

  /** Whether a new job is taken; `random` is from 0 inclusive to 1 exclusive. */
  admits (random: number): boolean {
    return random < this.#admittedPart
  }
}
