/** Authenticates and validates requests before they are queued or placed. */
import type { Clock } from '../../ports/clock.ts'
import { RefusalError } from '../../model/errors.ts'
import type { AdmittedRequest, KindName } from '../../model/request.ts'
import { fits } from '../../model/resources.ts'
import type { Limit } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import { findWorkload } from '../../workloads/registry.ts'
import { completeRequest, parseRequest } from './requestSchema.ts'
import type { CallerRequest, RequestDefaults } from './requestSchema.ts'

/** Claims are retained for this long. After that, a duplicate run could not be distinguished from a first run. */
export const MAXIMUM_CLAIMED_DEADLINE_MS = 10 * 60 * 1_000

/** Configuration of a team's requests of one kind. */
export interface AdmissionSettings extends RequestDefaults {
  readonly limit: Limit
  readonly keyGraceMs: number
}

export interface AdmissionDependencies {
  readonly clock: Clock
  /** Returns the team of an API key, or undefined for an unknown or withdrawn key. */
  authenticate (key: string): { readonly team: string } | undefined
  /** Returns the team of an open queue, which accepts requests without a key, or undefined if it does not exist. */
  findOpenQueue (queue: string): string | undefined
  /** Returns the time in ms since the configuration was last known to be current. */
  configurationAge (): number
  settings (team: string, kind: KindName): AdmissionSettings
  /** Returns all known targets of the cell. */
  listedTargets (): readonly TargetInfo[]
}

export class Admission {
  readonly #dependencies: AdmissionDependencies

  constructor (dependencies: AdmissionDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Returns the validated request with its team, or throws a `RefusalError` with the verdict `not-run`.
   *
   * @example
   * admission.admit('agk_…', { id: 'quote-17', kind: 'urgent', repeatable: true })
   */
  admit (key: string | undefined, body: unknown): AdmittedRequest {
    const parsed = parseRequest(body)
    const team = this.#findTeam(key, parsed)
    const settings = this.#dependencies.settings(team, parsed.kind)
    const request = completeRequest(parsed, settings)
    if (!request.repeatable && request.deadlineMs > MAXIMUM_CLAIMED_DEADLINE_MS) {
      throw refuse('invalid', `deadlineMs: must be at most ${MAXIMUM_CLAIMED_DEADLINE_MS} for a request that is not repeatable`)
    }
    this.#checkRunnable(request, settings.limit)
    return { team, request, deadlineAt: this.#dependencies.clock.monotonicMs() + request.deadlineMs }
  }

  /** Returns the team whose requests may be read and cancelled with this key. */
  identify (key: string | undefined): string {
    if (key === undefined) throw refuse('unauthenticated', 'missing API key: send the header "Authorization: Bearer <key>"')
    return this.#authenticate(key)
  }

  #findTeam (key: string | undefined, request: CallerRequest): string {
    if (request.queue !== undefined) {
      const team = this.#dependencies.findOpenQueue(request.queue)
      if (team === undefined) throw refuse('forbidden', `no open queue is named "${request.queue}"`)
      return team
    }
    const team = this.identify(key)
    const { keyGraceMs } = this.#dependencies.settings(team, request.kind)
    if (this.#dependencies.configurationAge() > keyGraceMs) {
      throw refuse('stale-configuration', 'the instance cannot verify that the key is still valid because its configuration is too old')
    }
    return team
  }

  #authenticate (key: string): string {
    const found = this.#dependencies.authenticate(key)
    if (found === undefined) throw refuse('unauthenticated', 'the key is unknown or was withdrawn')
    return found.team
  }

  /** Refuses requests that exceed the team's limit or that fit no target of the cell even when it is idle. */
  #checkRunnable ({ kind, size, tasks }: AdmittedRequest['request'], limit: Limit): void {
    for (const [dimension, maximum] of Object.entries(limit) as Array<[keyof Limit, number]>) {
      if (size[dimension] * tasks > maximum) {
        throw refuse('never-runnable', `the request needs ${size[dimension] * tasks} ${dimension}, which exceeds the team's limit of ${maximum}`)
      }
    }
    const type = findWorkload(kind).targetType(size)
    const targets = this.#dependencies.listedTargets()
    // Searches for a fit first: nearly every request fits, and the search ends at the first target that does.
    if (targets.some(target => target.type === type && fits(size, target.capacity))) return
    if (targets.some(target => target.type === type)) {
      throw refuse('never-runnable', `a task of this size does not fit on any ${type} of the cell`)
    }
  }
}

function refuse (code: 'invalid' | 'unauthenticated' | 'forbidden' | 'stale-configuration' | 'never-runnable', message: string): RefusalError {
  return new RefusalError(message, { code, verdict: 'not-run' })
}
