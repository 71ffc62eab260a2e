/** Reports to operators in which data centres an accepted change is in force. */
import type { InstanceRef } from '../model/identity.ts'

export interface InstanceVersion {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly configurationVersion: number
}

export interface DataCentreConfirmation {
  readonly dataCentre: string
  /** Names of instances known to have the version. */
  readonly confirmed: readonly string[]
  /** Names of instances not known to have the version. */
  readonly unconfirmed: readonly string[]
}

export interface Confirmations {
  readonly version: number
  readonly confirmed: readonly string[]
  readonly unconfirmed: readonly string[]
  readonly dataCentres: readonly DataCentreConfirmation[]
  /** Wall-clock time from which unconfirmed instances refuse work submitted with a key; undefined if all confirmed. */
  readonly refusesFromWallMs?: number
}

export interface AcceptedChange {
  readonly version: number
  readonly acceptedAtWallMs: number
  /** Longest grace period among the teams affected by the change. */
  readonly keyGraceMs: number
}

/**
 * Summarizes which data centres have a version. `instances` must include every instance that may be running, also
 * unresponsive ones.
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
