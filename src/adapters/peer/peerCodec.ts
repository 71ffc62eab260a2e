/** Converts between domain types and the generated messages of the peer protocol. */
import { create } from '@bufbuild/protobuf'
import type { RefusalCode } from '../../model/errors.ts'
import type { InstanceRef } from '../../model/identity.ts'
import { InputError, REFUSAL_CODES } from '../../model/errors.ts'
import { NO_RESOURCES } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { Verdict } from '../../model/verdict.ts'
import type { WorkRequest } from '../../model/request.ts'
import type { ClaimEntry, ForwardedRequest, RunEvent } from '../../ports/peerClient.ts'
import { completeRequest, parseRequest } from '../../scheduler/admission/requestSchema.ts'
import * as wire from '../../generated/peer_pb.ts'

/** Exceeds the sum over any fleet; larger amounts would make sums inexact. */
const MAX_AMOUNT = 1e12

/** A flight identity and an attempt number, joined by a dot; both are required, since claims are held by the flight. */
const ATTEMPT_ID = /^[^.\n]+\.[^\n]+$/
const CLAIM_IDENTITY_HASH = /^[0-9a-f]+$/

export function encodeRef (ref: InstanceRef): wire.InstanceRef {
  return create(wire.InstanceRefSchema, { name: ref.name, incarnation: ref.incarnation })
}

export function decodeRef (message: wire.InstanceRef | undefined): InstanceRef {
  if (message === undefined || message.name === '') throw new InputError('a peer message lacks its instance reference')
  return { name: message.name, incarnation: message.incarnation }
}

export function encodeResources (vector: Resources): wire.Resources {
  const { slots, processors, memory, accelerators } = vector
  return create(wire.ResourcesSchema, { slots, processors, memory, accelerators })
}

export function decodeResources (message: wire.Resources | undefined): Resources {
  if (message === undefined) return NO_RESOURCES
  return {
    slots: decodeAmount(message.slots),
    processors: decodeAmount(message.processors),
    memory: decodeAmount(message.memory),
    accelerators: decodeAmount(message.accelerators)
  }
}

/** Maps an impossible amount to zero, so that sums of usage stay finite and nothing is placed where no capacity is known. */
export function decodeAmount (amount: number): number {
  return amount >= 0 && amount <= MAX_AMOUNT ? amount : 0
}

/** Decodes a request forwarded by another instance; throws if it lacks what is needed to run it as intended. */
export function decodeForwardedRequest (message: wire.RunRequest): ForwardedRequest {
  const { attemptId, team, remainingMs, hops } = message
  if (!ATTEMPT_ID.test(attemptId) || team === '') throw new InputError('a forwarded request lacks its team or has an invalid attempt identity')
  if (!Number.isFinite(remainingMs)) throw new InputError(`invalid remaining time of a forwarded request: ${remainingMs} ms`)
  return { attemptId, team, request: decodeRequest(message.requestJson), remainingMs, hops, configurationVersion: decodeVersion(message.configurationVersion) }
}

function decodeRequest (requestJson: string): WorkRequest {
  const { size, deadlineMs, ...request } = parseRequest(parseJson(requestJson))
  if (size === undefined || deadlineMs === undefined) throw new InputError('a forwarded request lacks its size or deadline')
  return completeRequest(request, { size, deadlineMs })
}

/** Parses JSON in a peer's message. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new InputError('a peer message contains invalid JSON:', { cause: error })
  }
}

/** Decodes claims; throws if an identity is not a hash, since the hash determines the shard. */
export function decodeClaims (message: wire.ClaimRequest): readonly ClaimEntry[] {
  return message.entries.map(({ identity, holder }) => {
    if (!CLAIM_IDENTITY_HASH.test(identity) || holder === '') throw new InputError('a claim lacks its holder or the hash of its identity')
    return { identity, holder }
  })
}

export function encodeRunEvent (event: RunEvent, attemptId: string): wire.RunEvent {
  return create(wire.RunEventSchema, { attemptId, event: encodeEventCase(event) })
}

function encodeEventCase (event: RunEvent): wire.RunEvent['event'] {
  switch (event.type) {
    case 'accepted':
      return { case: 'accepted', value: create(wire.RunAcceptedSchema, { owner: encodeRef(event.owner) }) }
    case 'head':
      return { case: 'head', value: create(wire.RunHeadSchema, { target: event.target, contentType: event.contentType }) }
    case 'chunk':
      return { case: 'chunk', value: event.bytes as Uint8Array<ArrayBuffer> }
    case 'end':
      return { case: 'end', value: create(wire.RunEndSchema, { byteCount: BigInt(event.byteCount) }) }
    case 'refused': {
      const { code, message, verdict, claimed, retryable } = event
      return { case: 'refused', value: create(wire.RunRefusedSchema, { code, message, verdict, claimed, retryable }) }
    }
  }
}

export function decodeRunEvent (message: wire.RunEvent): RunEvent {
  const { event } = message
  switch (event.case) {
    case 'accepted':
      return { type: 'accepted', owner: decodeRef(event.value.owner) }
    case 'head':
      return { type: 'head', target: event.value.target, contentType: event.value.contentType }
    case 'chunk':
      return { type: 'chunk', bytes: event.value }
    case 'end':
      return { type: 'end', byteCount: Number(event.value.byteCount) }
    case 'refused':
      return {
        type: 'refused',
        code: decodeRefusalCode(event.value.code),
        message: event.value.message,
        verdict: decodeVerdict(event.value.verdict),
        claimed: event.value.claimed,
        retryable: event.value.retryable
      }
    default:
      throw new InputError('a peer sent a run event of an unknown type')
  }
}

/** Maps an unknown verdict to `may-have-run`, so that a newer peer cannot cause a second run. */
export function decodeVerdict (verdict: string): Verdict {
  return verdict === 'not-run' || verdict === 'ran' ? verdict : 'may-have-run'
}

function decodeRefusalCode (code: string): RefusalCode {
  return REFUSAL_CODES.find(known => known === code) ?? 'peer-failed'
}

/** Decodes a version, which must be exact, since freshness compares versions. */
export function decodeVersion (version: bigint): number {
  if (version > BigInt(Number.MAX_SAFE_INTEGER)) throw new InputError(`a peer message has a version above the safe integers: ${version}`)
  return Number(version)
}
