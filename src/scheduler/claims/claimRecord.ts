/**
 * The records of one shard of the claim log.
 *
 * The head holds the newest claims and is the only record that decides: every claim is a compare-and-swap of the head.
 * A full head is first copied into an archive with the head's number, which is never changed, and then emptied under
 * the next number. The head is never deleted, so that a writer with an old view always meets a conflict.
 */

/** Claims older than this are forgotten; requests that must not be repeated have no longer deadline. */
export const CLAIM_RETENTION_MS = 10 * 60 * 1_000
/** A head that is longer is archived before the next claim. */
export const HEAD_LIMIT_BYTES = 16 * 1_024

export interface StoredClaim {
  readonly identity: string
  readonly holder: string
  /** Wall-clock time in milliseconds. */
  readonly claimedAt: number
}

export interface ClaimHead {
  /** Number that the head gets as an archive. */
  readonly segment: number
  readonly claims: readonly StoredClaim[]
}

export const EMPTY_HEAD: ClaimHead = { segment: 1, claims: [] }

export function headKey (shard: number): string {
  return `claim/${shard}/head`
}

export function archivePrefix (shard: number): string {
  return `claim/${shard}/segment/`
}

export function archiveKey (shard: number, segment: number): string {
  return `${archivePrefix(shard)}${segment}`
}

type WireClaim = readonly [identity: string, holder: string, claimedAt: number]

export function parseHead (value: string | undefined): ClaimHead {
  if (value === undefined) return EMPTY_HEAD
  const { segment, claims } = JSON.parse(value) as { segment: number, claims: readonly WireClaim[] }
  return { segment, claims: claims.map(([identity, holder, claimedAt]) => ({ identity, holder, claimedAt })) }
}

export function serialiseHead ({ segment, claims }: ClaimHead): string {
  return JSON.stringify({ segment, claims: claims.map(({ identity, holder, claimedAt }): WireClaim => [identity, holder, claimedAt]) })
}

export function isFull (head: ClaimHead): boolean {
  return serialiseHead(head).length > HEAD_LIMIT_BYTES
}
