/** Counts the bytes of exchange messages in protobuf encoding, by part. */
import { toBinary } from '@bufbuild/protobuf'
import type { DigestUpdate, ExchangeSender } from '../src/model/digest.ts'
import type { ExchangeAnswer } from '../src/ports/peerClient.ts'
import { encodeExchangeAnswer, encodeExchangeRequest } from '../src/adapters/peer/exchangeCodec.ts'
import * as wire from '../src/generated/peer_pb.ts'
import type { ByteCounts } from './byteCounts.ts'

export function countRequest (sender: ExchangeSender, registering: boolean, counts: ByteCounts): void {
  counts.add('request', toBinary(wire.ExchangeRequestSchema, encodeExchangeRequest(sender, registering)).length)
}

function encodedSize (instances: readonly DigestUpdate[]): number {
  return toBinary(wire.ExchangeResponseSchema, encodeExchangeAnswer({ instances, acknowledged: false, revision: 0 })).length
}

function countEntries (name: string, instances: readonly DigestUpdate[], counts: ByteCounts): void {
  const noTeams = instances.map(update => ({ ...update, teams: [] }))
  const noLoad = noTeams.map(update => ({ ...update, load: undefined }))
  const noPlace = noLoad.map(update => ({ ...update, place: undefined, ref: undefined }))
  counts.add(`${name}: ages`, encodedSize(noPlace))
  counts.add(`${name}: identity, place`, encodedSize(noLoad) - encodedSize(noPlace))
  counts.add(`${name}: capacity`, encodedSize(noTeams) - encodedSize(noLoad))
  counts.add(`${name}: teams`, encodedSize(instances) - encodedSize(noTeams))
}

export function countAnswer (answer: ExchangeAnswer, counts: ByteCounts): void {
  countEntries('own', answer.instances.slice(0, 1), counts)
  countEntries('relayed', answer.instances.slice(1), counts)
  const whole = toBinary(wire.ExchangeResponseSchema, encodeExchangeAnswer(answer)).length
  counts.add('rest', whole - encodedSize(answer.instances))
}
