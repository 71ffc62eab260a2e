/** Decides whose work a request is and whether it may be taken, before anything is placed. */
import type { Clock } from '../../ports/clock.ts'
import { RefusalError } from '../../model/errors.ts'
import type { AdmittedRequest, KindName } from '../../model/request.ts'
import { fits } from '../../model/resources.ts'
import type { Limit } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import { findWorkload } from '../../workloads/registry.ts'
import { completeRequest, parseRequest } from './requestSchema.ts'
import type { CallerRequest, RequestDefaults } from './requestSchema.ts'

/** A claim lasts as long; a later run could not be told from a first one. */
export const MAXIMUM_CLAIMED_DEADLINE_MS = 10 * 60 * 1_000

/** What the configuration says about a team's work of one kind. */
export interface AdmissionSettings extends RequestDefaults {
  readonly limit: Limit
  readonly keyGraceMs: number
}

export interface AdmissionDependencies {
  readonly clock: Clock
  /** The key's team; undefined for an unknown or withdrawn key. */
  authenticate (key: string): { readonly team: string } | undefined
  /** The team of an open queue; undefined if there is no such open queue. */
  findOpenQueue (queue: string): string | undefined
  /** Since the configuration was last known to be current. */
  configurationAge (): number
  settings (team: string, kind: KindName): AdmissionSettings
  /** All targets of the cell that are known. */
  listedTargets (): readonly TargetInfo[]
}

export class Admission {
  readonly #dependencies: AdmissionDependencies

  constructor (dependencies: AdmissionDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Returns the checked request with its team; throws a `RefusalError` that says `not-run`.
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
      throw refuse('invalid', `deadlineMs: at most ${MAXIMUM_CLAIMED_DEADLINE_MS} for a request that must not be repeated`)
    }
    this.#checkRunnable(request, settings.limit)
    return { team, request, deadlineAt: this.#dependencies.clock.monotonicMs() + request.deadlineMs }
  }

  /** The team that may see and cancel requests with this key. */
  identify (key: string | undefined): string {
    if (key === undefined) throw refuse('unauthenticated', 'show a key: Authorization: Bearer <key>')
    return this.#authenticate(key)
  }

  #findTeam (key: string | undefined, request: CallerRequest): string {
    if (request.queue !== undefined) {
      const team = this.#dependencies.findOpenQueue(request.queue)
      if (team === undefined) throw refuse('forbidden', `there is no open queue "${request.queue}"`)
      return team
    }
    const team = this.identify(key)
    const { keyGraceMs } = this.#dependencies.settings(team, request.kind)
    if (this.#dependencies.configurationAge() > keyGraceMs) {
      throw refuse('stale-configuration', 'the instance can not tell whether the key is still valid')
    }
    return team
  }

  #authenticate (key: string): string {
    const found = this.#dependencies.authenticate(key)
    if (found === undefined) throw refuse('unauthenticated', 'the key is unknown or was withdrawn')
    return found.team
  }

  /** Refuses what no target of the cell could ever run, even if it were idle. */
  #checkRunnable ({ kind, size, tasks }: AdmittedRequest['request'], limit: Limit): void {
    for (const [dimension, maximum] of Object.entries(limit) as Array<[keyof Limit, number]>) {
      if (size[dimension] * tasks > maximum) {
        throw refuse('never-runnable', `${size[dimension] * tasks} ${dimension} are more than the team's limit of ${maximum}`)
      }
    }
    const type = findWorkload(kind).targetType(size)
    const targets = this.#dependencies.listedTargets()
    // The first target that fits ends the search, which nearly every request does.
    if (targets.some(target => target.type === type && fits(size, target.capacity))) return
    if (targets.some(target => target.type === type)) {
      throw refuse('never-runnable', `a task of this size is larger than every ${type} of the cell`)
    }
  }
}

function refuse (code: 'invalid' | 'unauthenticated' | 'forbidden' | 'stale-configuration' | 'never-runnable', message: string): RefusalError {
  return new RefusalError(message, { code, verdict: 'not-run' })
}
