/** The HTTP status of each refusal code. */
import type { RefusalCode } from '../../model/errors.ts'

export const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  invalid: 400,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  duplicate: 409,
  'too-large': 413,
  'never-runnable': 422,
  limit: 429,
  cancelled: 499,
  internal: 500,
  'target-failed': 502,
  'answer-incomplete': 502,
  'peer-failed': 502,
  fenced: 503,
  preempted: 503,
  shed: 503,
  'stale-configuration': 503,
  draining: 503,
  'no-capacity': 503,
  'claim-unavailable': 503,
  deadline: 504
}
