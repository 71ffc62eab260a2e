/** Distinguishes refused connections from connections that were lost later. */

const REFUSAL_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']

/** Whether no connection was established, which guarantees that the call had no effect. */
export function isConnectionRefused (error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    const { code } = cause as { code?: unknown }
    if (typeof code === 'string' && REFUSAL_CODES.includes(code)) return true
  }
  return false
}
