/** Segments of the claim log: append-only lists of claimed identities. Each shard has its own sequence of segments. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { ClaimEntry } from '../../ports/peerClient.ts'
import { parseRecord } from '../../ports/storeRecord.ts'

export const SHARD_COUNT = 8

/** Retention period of claims, and the longest deadline of a request that is not repeatable. */
export const CLAIM_RETENTION_MS = 600_000

/** No claims are appended to a segment of at least this size. A segment just below it stays under 16 KB after one more batch. */
export const FULL_SEGMENT_BYTES = 14 * 1024

/** Maximum number of claims in one write: 2 KB at about 70 bytes each. */
export const BATCH_SIZE = 28

/** Hexadecimal digits of an identity: 96 bits make a collision between two requests negligibly unlikely. */
const IDENTITY_DIGITS = 24
const NUMBER_DIGITS = 10

export interface ClaimSegment {
  readonly number: number
  /** Wall-clock time of the last write, in milliseconds. */
  readonly writtenAt: number
  readonly entries: readonly ClaimEntry[]
}

/** The segment number, the time of the last write, and pairs of identity and holder. */
const segmentSchema = z.tuple([z.int().min(0), z.number()], z.tuple([z.string(), z.string()]))

/** Hashes a team and a request identity. */
export function hashIdentity (team: string, requestId: string): string {
  return createHash('sha256').update(JSON.stringify([team, requestId])).digest('hex').slice(0, IDENTITY_DIGITS)
}

export function shardOf (identity: string): number {
  return Number.parseInt(identity.slice(0, 2), 16) % SHARD_COUNT
}

export function shardPrefix (shard: number): string {
  return `claim/${shard}/`
}

/**
 * Key of a shard's current segment. This key is never deleted, so a write by an instance with an outdated view always
 * fails the version check. A numbered key could be deleted after the retention period and recreated by such an instance.
 */
export function headKey (shard: number): string {
  return `${shardPrefix(shard)}head`
}

/** Key of a full segment. Numbers are zero-padded, so that keys sort in the order of the segments. */
export function segmentKey (shard: number, segment: number): string {
  return shardPrefix(shard) + String(segment).padStart(NUMBER_DIGITS, '0')
}

/** Whether further claims go into the next segment. Depends only on the content, so that all writers agree. */
export function isFull (value: string): boolean {
  return Buffer.byteLength(value) >= FULL_SEGMENT_BYTES
}

export function serialiseSegment ({ number, writtenAt, entries }: ClaimSegment): string {
  return JSON.stringify([number, writtenAt, ...entries.map(entry => [entry.identity, entry.holder])])
}

export function parseSegment (value: string): ClaimSegment {
  const [number, writtenAt, ...entries] = parseRecord(segmentSchema, 'claim segment', value)
  return { number, writtenAt, entries: entries.map(([identity, holder]) => ({ identity, holder })) }
}
