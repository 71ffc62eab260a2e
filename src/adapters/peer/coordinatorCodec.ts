/** Translates between the messages of the coordinator's protocol and the program's types. */
import { create } from '@bufbuild/protobuf'
import type { CallerAnswer } from '../../entry/callerCall.ts'
import * as wire from '../../generated/coordinator_pb.ts'
import type { JobState } from '../../jobs/job.ts'
import { BaseError } from '../../model/errors.ts'
import type { ReportAnswer } from '../../ports/coordinatorPeer.ts'

export function encodeAnswer (answer: CallerAnswer): wire.HandleResponse {
  const fields = { outcome: answer.outcome }
  switch (answer.outcome) {
    case 'state': return create(wire.HandleResponseSchema, { ...fields, state: answer.state })
    case 'pending': return create(wire.HandleResponseSchema, { ...fields, pending: answer.pending })
    case 'invalid':
    case 'unknown': return create(wire.HandleResponseSchema, { ...fields, message: answer.message })
    case 'unavailable':
      return create(wire.HandleResponseSchema, { ...fields, message: answer.message, retryAfterSeconds: answer.retryAfterSeconds })
    default: return create(wire.HandleResponseSchema, fields)
  }
}

export function decodeAnswer ({ outcome, state, pending, message, retryAfterSeconds }: wire.HandleResponse): CallerAnswer {
  switch (outcome) {
    case 'state': return { outcome, state: state as JobState }
    case 'pending': return { outcome, pending }
    case 'invalid':
    case 'unknown': return { outcome, message }
    case 'unavailable': return { outcome, message, retryAfterSeconds }
    case 'accepted':
    case 'cancelled':
    case 'no-queue':
    case 'no-job':
    case 'unauthenticated': return { outcome }
    default: throw new BaseError(`the coordinator answered with an unknown outcome: ${outcome}`)
  }
}

export function encodeReportAnswer ({ coordinator, desiredState, peers }: ReportAnswer): wire.ReportResponse {
  return create(wire.ReportResponseSchema, {
    coordinator: coordinator?.instance ?? '',
    address: coordinator?.address ?? '',
    fence: BigInt(coordinator?.fence ?? 0),
    lease: BigInt(coordinator?.lease ?? 0),
    desiredStateVersion: BigInt(desiredState?.version ?? 0),
    desiredState: desiredState?.text ?? '',
    peers: [...peers]
  })
}

export function decodeReportAnswer (response: wire.ReportResponse): ReportAnswer {
  const { coordinator, address, fence, lease, desiredStateVersion, desiredState, peers } = response
  return {
    ...(fence === 0n ? {} : { coordinator: { instance: coordinator, address, fence: Number(fence), lease: Number(lease) } }),
    ...(desiredState === '' ? {} : { desiredState: { version: Number(desiredStateVersion), text: desiredState } }),
    peers
  }
}
