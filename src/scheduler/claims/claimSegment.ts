/** Segments of the claim log: append-only lists of claimed identities, one sequence of segments per shard. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { ClaimEntry } from '../../ports/peerClient.ts'
import { parseRecord } from '../../ports/storeRecord.ts'

export const SHARD_COUNT = 8

/** How long a claim is remembered, and the longest deadline of a request that is not repeatable. */
export const CLAIM_RETENTION_MS = 600_000

/** A segment of at least this size takes no more claims; with one batch on top it stays below 16 KB. */
export const FULL_SEGMENT_BYTES = 14 * 1024

/** Claims in one write: 2 KB at about 70 bytes each. */
export const BATCH_SIZE = 28

/** Digits of an identity: 96 bits, so that two requests do not share one by chance. */
const IDENTITY_DIGITS = 24
const NUMBER_DIGITS = 10

export interface ClaimSegment {
  readonly number: number
  /** Wall-clock time of the last write, in milliseconds. */
  readonly writtenAt: number
  readonly entries: readonly ClaimEntry[]
}

/** The number, the time of the last write, and pairs of identity and holder. */
const segmentSchema = z.tuple([z.int().min(0), z.number()], z.tuple([z.string(), z.string()]))

/** Hash of team and request identity. */
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
 * The present segment of a shard. It is one key that is never deleted, so that its version exposes every writer with
 * an old view; a numbered key could be deleted after the retention period and created anew by such a writer.
 */
export function headKey (shard: number): string {
  return `${shardPrefix(shard)}head`
}

/** Where a full segment is kept. Numbers are padded, so that keys sort in the order of the segments. */
export function segmentKey (shard: number, segment: number): string {
  return shardPrefix(shard) + String(segment).padStart(NUMBER_DIGITS, '0')
}

/** Whether later claims belong into the next segment; a function of the content, so that all writers agree. */
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
