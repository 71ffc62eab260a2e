/** Keys of teams: created once, kept as hashes, compared in constant time. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { StoredKey } from '../model/change.ts'

const KEY_PREFIX = 'agk_'
const KEY_BYTES = 32
const KEY_ID_LENGTH = 16

/** Longer values are not hashed, so that a caller cannot make authentication slow. */
const MAX_KEY_LENGTH = 256

export interface CreatedKey {
  /** Shown once and never kept. */
  readonly key: string
  readonly keyId: string
  /** SHA-256, hexadecimal. */
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
 * Creates a key from 32 random bytes; its identity is the start of its hash.
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
 * The keys that work at one version of the configuration.
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

  /** The team of a key. The table is searched by hash, so timing tells nothing about stored keys. */
  authenticate (key: string): AuthenticatedTeam | undefined {
    if (key.length > MAX_KEY_LENGTH) return
    const hash = hashKey(key)
    const found = this.#entries.get(hash)
    const entry = found ?? DUMMY_ENTRY
    const equal = timingSafeEqual(entry.digest, Buffer.from(hash, 'hex'))
    return found !== undefined && equal ? { team: entry.team, keyId: entry.keyId } : undefined
  }
}
