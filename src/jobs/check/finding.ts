/** What the check of a desired state reports. */
import { hashKey } from '../../configuration/keys.ts'
import type { DesiredState } from '../desiredState.ts'

/** A finding that is not certain is a warning. */
export type Severity = 'error' | 'warning'

export type EntryKind = 'queue' | 'service' | 'team'

/** A field of the desired state, in the terms of the code. */
export interface Place {
  /** Undefined for fields of the whole state. */
  readonly entry?: { readonly kind: EntryKind, readonly index: number }
  /** Path such as `advice.decisionMs` or `keys.0`. */
  readonly field: string
}

export interface Finding<Location = Place> {
  readonly severity: Severity
  readonly code: string
  readonly place: Location
  readonly message: string
  /** Further fields of the entry that the message names. */
  readonly related?: readonly string[]
}

export interface ListedService {
  readonly name: string
  readonly standby: boolean
}

/** A desired state, and the services on standby, which are not part of it. */
export interface CheckedState extends DesiredState {
  readonly listedServices: readonly ListedService[]
}

const DIGEST_DIGITS = 8

/** Identifies a key in output, which must not contain the key itself. */
export function keyDigest (key: string): string {
  return hashKey(key).slice(0, DIGEST_DIGITS)
}
