/** Team API keys: only their SHA-256 hashes are stored, and they are compared in constant time. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { StoredKey } from '../model/change.ts'

const KEY_PREFIX = 'agk_'
const KEY_BYTES = 32
const KEY_ID_LENGTH = 16

/** Longer values are rejected before hashing, so that a caller cannot slow down authentication. */
const MAX_KEY_LENGTH = 256

export interface CreatedKey {
  /** Plain-text key, shown once and never stored. */
  readonly key: string
  readonly keyId: string
  /** SHA-256 of the key, in hexadecimal. */
  readonly hash: string
}

export interface AuthenticatedTeam {
  readonly team: string
  readonly keyId: string
}

export function hashKey (key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex')
}

/**
 * Creates a key from 32 random bytes. The key ID is the first 16 digits of the hash.
 *
 * @example
 * const { key, keyId, hash } = createKey()
 */
export function createKey (): CreatedKey {
  const key = KEY_PREFIX + randomBytes(KEY_BYTES).toString('base64url')
  const hash = hashKey(key)
  return { key, keyId: hash.slice(0, KEY_ID_LENGTH), hash }
}

interface KeyRingEntry extends AuthenticatedTeam {
  readonly digest: Buffer
}

const DUMMY_ENTRY: KeyRingEntry = { team: '', keyId: '', digest: Buffer.alloc(KEY_BYTES) }

/**
 * The valid (not withdrawn) keys of one version of the configuration.
 *
 * @example
 * const ring = new KeyRing(state.keys.values())
 * ring.authenticate(bearerToken)?.team
 */
export class KeyRing {
  readonly #entries = new Map<string, KeyRingEntry>()

  constructor (keys: Iterable<StoredKey>) {
    for (const { keyId, team, hash, withdrawn } of keys) {
      if (!withdrawn) this.#entries.set(hash, { team, keyId, digest: Buffer.from(hash, 'hex') })
    }
  }

  /** Returns the team of a valid key. The lookup is by hash, so response times reveal nothing about stored keys. */
  authenticate (key: string): AuthenticatedTeam | undefined {
    if (key.length > MAX_KEY_LENGTH) return
    const hash = hashKey(key)
    const found = this.#entries.get(hash)
    const entry = found ?? DUMMY_ENTRY
    const equal = timingSafeEqual(entry.digest, Buffer.from(hash, 'hex'))
    return found !== undefined && equal ? { team: entry.team, keyId: entry.keyId } : undefined
  }
}
