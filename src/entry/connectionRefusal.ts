/** Tells a refused connection from a lost one. */

const REFUSAL_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']

/** Whether no connection was made, so that the call certainly had no effect. */
export function isConnectionRefused (error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    const { code } = cause as { code?: unknown }
    if (typeof code === 'string' && REFUSAL_CODES.includes(code)) return true
  }
  return false
}
