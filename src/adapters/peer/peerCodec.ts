/** Converts between the domain types and the generated messages of the peer protocol. */
import { create } from '@bufbuild/protobuf'
import type { RefusalCode } from '../../model/errors.ts'
import type { InstanceRef } from '../../model/identity.ts'
import { NO_RESOURCES } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { Verdict } from '../../model/verdict.ts'
import type { RunEvent } from '../../ports/peerClient.ts'
import * as wire from '../../generated/peer_pb.ts'

export function encodeRef (ref: InstanceRef): wire.InstanceRef {
  return create(wire.InstanceRefSchema, { name: ref.name, incarnation: ref.incarnation })
}

export function decodeRef (message: wire.InstanceRef | undefined): InstanceRef {
  if (message === undefined || message.name === '') throw new Error('a peer message has no instance reference')
  return { name: message.name, incarnation: message.incarnation }
}

export function encodeResources (vector: Resources): wire.Resources {
  const { slots, processors, memory, accelerators } = vector
  return create(wire.ResourcesSchema, { slots, processors, memory, accelerators })
}

export function decodeResources (message: wire.Resources | undefined): Resources {
  if (message === undefined) return NO_RESOURCES
  const { slots, processors, memory, accelerators } = message
  return { slots, processors, memory, accelerators }
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
        code: event.value.code as RefusalCode,
        message: event.value.message,
        verdict: decodeVerdict(event.value.verdict),
        claimed: event.value.claimed,
        retryable: event.value.retryable
      }
    default:
      throw new Error('a peer sent an event of an unknown type')
  }
}

/** An unknown verdict is read as the cautious one, so that a newer peer can't cause a second run. */
export function decodeVerdict (verdict: string): Verdict {
  return verdict === 'not-run' || verdict === 'ran' ? verdict : 'may-have-run'
}
