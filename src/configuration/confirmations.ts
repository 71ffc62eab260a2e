/** What an operator is told after a change was accepted: where it is in force, and where not yet. */
import type { InstanceRef } from '../model/identity.ts'

export interface InstanceVersion {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly configurationVersion: number
}

export interface DataCentreConfirmation {
  readonly dataCentre: string
  /** Instances known to have the version. */
  readonly confirmed: readonly string[]
  /** Instances not known to have it. */
  readonly unconfirmed: readonly string[]
}

export interface Confirmations {
  readonly version: number
  readonly confirmed: readonly string[]
  readonly unconfirmed: readonly string[]
  readonly dataCentres: readonly DataCentreConfirmation[]
  /** Wall-clock time from which unconfirmed instances refuse keyed work; undefined if all confirmed. */
  readonly refusesFromWallMs?: number
}

export interface AcceptedChange {
  readonly version: number
  readonly acceptedAtWallMs: number
  /** Longest grace period of a team that the change concerns. */
  readonly keyGraceMs: number
}

/**
 * Summarizes which data centres have a version. Each instance that may run has to be given, silent ones included.
 *
 * @example
 * summarizeConfirmations({ version: 12, acceptedAtWallMs: clock.wallMs(), keyGraceMs: 5_000 }, instances).unconfirmed
 */
export function summarizeConfirmations (
  { version, acceptedAtWallMs, keyGraceMs }: AcceptedChange, instances: readonly InstanceVersion[]
): Confirmations {
  const names = [...new Set(instances.map(instance => instance.dataCentre))].sort()
  const dataCentres = names.map(dataCentre => {
    const members = instances.filter(instance => instance.dataCentre === dataCentre)
    const hasVersion = (instance: InstanceVersion): boolean => instance.configurationVersion >= version
    return {
      dataCentre,
      confirmed: members.filter(hasVersion).map(({ ref }) => ref.name),
      unconfirmed: members.filter(instance => !hasVersion(instance)).map(({ ref }) => ref.name)
    }
  })
  const unconfirmed = dataCentres.filter(summary => summary.unconfirmed.length > 0).map(summary => summary.dataCentre)
  return {
    version,
    confirmed: names.filter(name => !unconfirmed.includes(name)),
    unconfirmed,
    dataCentres,
    refusesFromWallMs: unconfirmed.length > 0 ? acceptedAtWallMs + keyGraceMs : undefined
  }
}
