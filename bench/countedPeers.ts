/** Counts the bytes of peer messages in protobuf encoding, by part of the protocol. */
import { create, toBinary } from '@bufbuild/protobuf'
import type { PeerClient } from '../src/ports/peerClient.ts'
import { encodeRef, encodeResources } from '../src/adapters/peer/peerCodec.ts'
import type { ByteCounts } from './byteCounts.ts'
import { countAnswer, countRequest } from './exchangeMessages.ts'
import * as wire from '../src/generated/peer_pb.ts'

/** Wraps a client to count its control messages. Forwarded requests belong to the data path and are not counted. */
export function countBytes (client: PeerClient, counts: ByteCounts): PeerClient {
  return {
    exchange: async (address, sender, registering, signal) => {
      countRequest(sender, registering, counts)
      const answer = await client.exchange(address, sender, registering, signal)
      countAnswer(answer, counts)
      return answer
    },
    fetchChanges: async (address, afterVersion, signal) => {
      const fetched = await client.fetchChanges(address, afterVersion, signal)
      counts.add('changes', JSON.stringify(fetched).length)
      return fetched
    },
    transferAllotment: async (address, receiver, team, wanted, signal) => {
      const request = create(wire.TransferAllotmentRequestSchema, { receiver: encodeRef(receiver), team, wanted: encodeResources(wanted) })
      counts.add('allotments', toBinary(wire.TransferAllotmentRequestSchema, request).length)
      return await client.transferAllotment(address, receiver, team, wanted, signal)
    },
    claim: async (address, entries, signal) => {
      const request = create(wire.ClaimRequestSchema, { entries: entries.map(entry => create(wire.ClaimEntrySchema, entry)) })
      counts.add('claims', toBinary(wire.ClaimRequestSchema, request).length)
      const results = await client.claim(address, entries, signal)
      counts.add('claims', toBinary(wire.ClaimResponseSchema, create(wire.ClaimResponseSchema, { results: [...results] })).length)
      return results
    },
    handOver: async (address, from, dataCentre, targets, signal) => {
      const request = create(wire.HandOverRequestSchema, { from: encodeRef(from), dataCentre, targets: [...targets] })
      counts.add('hand-overs', toBinary(wire.HandOverRequestSchema, request).length)
      await client.handOver(address, from, dataCentre, targets, signal)
    },
    run: (address, forwarded, signal) => client.run(address, forwarded, signal),
    cancel: (address, team, requestId, attemptId, signal) => client.cancel(address, team, requestId, attemptId, signal),
    find: (address, team, requestId, signal) => client.find(address, team, requestId, signal)
  }
}
