/** Identities of claims and the shards that keep them. */
import { createHash } from 'node:crypto'

/** Each shard is one record with writes in sequence, 40 ms apart at least: at most 200 writes a second for all. */
export const CLAIM_SHARDS = 8
const IDENTITY_BYTES = 16

/**
 * The identity under which a request is claimed; it depends on the team and the request identity only.
 *
 * @example
 * createClaimIdentity('weavers', 'stock-2026-12')
 */
export function createClaimIdentity (team: string, requestId: string): string {
  return createHash('sha256').update(JSON.stringify([team, requestId])).digest().subarray(0, IDENTITY_BYTES).toString('base64url')
}

export function shardOf (identity: string): number {
  return Buffer.from(identity, 'base64url').readUInt8(0) % CLAIM_SHARDS
}
