/** A ticket of the placement advisor, with which tasks of a step may be started on one target. */

/** Transit time of the advisor's answer and of the start request to a target in another region. */
const TICKET_MARGIN_MS = 150
/** Clocks by which targets judge the age of a ticket run up to 2% slow; half as much again is added as a margin. */
const CLOCK_DRIFT_FACTOR = 1.03

export interface StartTicket {
  /** Empty if the queue needs no ticket. */
  readonly text: string
  /** Time until which the ticket is valid, on the clock of this process. */
  readonly validUntilMs: number
  /** Time after which no target accepts the ticket. */
  readonly expiredByMs: number
}

export const NO_TICKET_NEEDED: StartTicket = { text: '', validUntilMs: Infinity, expiredByMs: Infinity }

/**
 * @example
 * const ticket = createTicket('6fbb42c7', clock.monotonicMs(), settings.ticketValidityMs)
 */
export function createTicket (text: string, receivedMs: number, validityMs: number): StartTicket {
  return { text, validUntilMs: receivedMs + validityMs, expiredByMs: latestTicketUseMs(receivedMs, validityMs) }
}

/** Whether the ticket will still be valid when a start request that is sent now arrives. */
export function isUsableTicket ({ validUntilMs }: StartTicket, nowMs: number): boolean {
  return nowMs < validUntilMs - TICKET_MARGIN_MS
}

/** Latest time at which a target accepts a ticket that was received by the given time, in milliseconds. */
export function latestTicketUseMs (receivedMs: number, validityMs: number): number {
  return receivedMs + validityMs * CLOCK_DRIFT_FACTOR
}
