/** Tells a refused connection from a lost one. */

const REFUSED_CONNECTIONS = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']

/** Whether no connection was made, so that the call certainly had no effect. */
export function wasRefused (error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    const { code } = cause as { code?: unknown }
    if (typeof code === 'string' && REFUSED_CONNECTIONS.includes(code)) return true
  }
  return false
}
