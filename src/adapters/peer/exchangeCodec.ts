/** Converts the messages of the digest exchange. Amounts are rounded down and ages up to whole numbers. */
import { create } from '@bufbuild/protobuf'
import type { DigestUpdate, ExchangeSender, InstanceState, Load, Place, TeamLoad } from '../../model/digest.ts'
import { InputError } from '../../model/errors.ts'
import { isEmpty } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { ExchangeAnswer } from '../../ports/peerClient.ts'
import * as wire from '../../generated/peer_pb.ts'
import { decodeAmount, decodeRef, decodeVersion, encodeRef } from './peerCodec.ts'

const WIRE_STATES: Readonly<Record<InstanceState, wire.State>> = {
  serving: wire.State.SERVING, starting: wire.State.STARTING, draining: wire.State.DRAINING
}
/** The maximum of the wire type; digests of that age are obsolete. */
const MAX_AGE_MS = 2 ** 32 - 1

export function encodeExchangeRequest (sender: ExchangeSender, registering: boolean): wire.ExchangeRequest {
  const { ref, state, configurationVersion, place, known, unanswered, withoutLoad } = sender
  return create(wire.ExchangeRequestSchema, {
    sender: create(wire.InstanceDigestSchema, {
      ref: encodeRef(ref),
      state: WIRE_STATES[state],
      configurationVersion: BigInt(configurationVersion),
      place: place && create(wire.PlaceSchema, place)
    }),
    registering,
    known: known && create(wire.KnownAnswerSchema, { incarnation: known.incarnation, revision: BigInt(known.revision) }),
    unanswered: [...unanswered],
    withoutLoad
  })
}

export function decodeExchangeSender ({ sender, known, unanswered, withoutLoad }: wire.ExchangeRequest): ExchangeSender {
  if (sender === undefined) throw new InputError('a peer message lacks its sender')
  return {
    ref: decodeRef(sender.ref),
    state: decodeState(sender.state),
    configurationVersion: decodeVersion(sender.configurationVersion),
    place: sender.place && decodePlace(sender.place),
    known: known && { incarnation: known.incarnation, revision: decodeVersion(known.revision) },
    unanswered,
    withoutLoad
  }
}

export function encodeExchangeAnswer ({ instances, acknowledged, revision }: ExchangeAnswer): wire.ExchangeResponse {
  return create(wire.ExchangeResponseSchema, { instances: instances.map(encodeUpdate), acknowledged, revision: BigInt(revision) })
}

export function decodeExchangeAnswer ({ instances, acknowledged, revision }: wire.ExchangeResponse): ExchangeAnswer {
  const [first, ...others] = instances
  if (first === undefined) throw new InputError('an exchange response does not describe the instance that responded')
  // The first entry describes the responding instance and must be valid; other invalid entries are dropped.
  return {
    instances: [decodeUpdate(first), ...others.flatMap(message => decodeIfValid(message) ?? [])],
    acknowledged,
    revision: decodeVersion(revision)
  }
}

function decodeIfValid (message: wire.InstanceDigest): DigestUpdate | undefined {
  try {
    return decodeUpdate(message)
  } catch {
    return undefined
  }
}

function encodeUpdate (update: DigestUpdate): wire.InstanceDigest {
  const { handle, ref, state, configurationVersion, heardAge, storeReadAge, quietAge, place, load, teams } = update
  return create(wire.InstanceDigestSchema, {
    handle,
    ref: ref && encodeRef(ref),
    state: WIRE_STATES[state],
    configurationVersion: BigInt(configurationVersion),
    heardAge: encodeAge(heardAge),
    storeReadAge: encodeAge(storeReadAge),
    quietAge: encodeAge(quietAge),
    place: place && create(wire.PlaceSchema, place),
    load: load && encodeLoad(load),
    teams: teams.map(encodeTeam)
  })
}

function decodeUpdate (message: wire.InstanceDigest): DigestUpdate {
  const { handle, ref, state, configurationVersion, heardAge, storeReadAge, quietAge, place, load, teams } = message
  return {
    handle,
    ref: ref && decodeRef(ref),
    state: decodeState(state),
    configurationVersion: decodeVersion(configurationVersion),
    heardAge,
    storeReadAge,
    quietAge,
    place: place && decodePlace(place),
    load: load && decodeLoad(load),
    teams: teams.map(decodeTeam)
  }
}

function encodeLoad ({ version, free, largestFree, queued }: Load): wire.Load {
  return create(wire.LoadSchema, { version: BigInt(version), free: encodeAmounts(free), largestFree: encodeAmounts(largestFree), queued })
}

function decodeLoad ({ version, free, largestFree, queued }: wire.Load): Load {
  return { version: decodeVersion(version), free: decodeAmounts(free), largestFree: decodeAmounts(largestFree), queued }
}

function encodeTeam ({ team, used, spare, queued, version }: TeamLoad): wire.TeamDigest {
  return create(wire.TeamDigestSchema, { team, used: encodeAmounts(used), spare: encodeAmounts(spare), queued, version: BigInt(version) })
}

function decodeTeam ({ team, used, spare, queued, version }: wire.TeamDigest): TeamLoad {
  return { team, used: decodeAmounts(used), spare: decodeAmounts(spare), queued, version: decodeVersion(version) }
}

function encodeAmounts (vector: Resources): wire.Amounts | undefined {
  if (isEmpty(vector)) return undefined
  const { slots, processors, memory, accelerators } = vector
  return create(wire.AmountsSchema, {
    slots: toWholeAmount(slots), processors: BigInt(toWholeAmount(processors)), memory: BigInt(toWholeAmount(memory)), accelerators: toWholeAmount(accelerators)
  })
}

function toWholeAmount (amount: number): number {
  return Math.max(0, Math.floor(amount))
}

function decodeAmounts (message: wire.Amounts | undefined): Resources {
  const { slots = 0, processors = 0n, memory = 0n, accelerators = 0 } = message ?? {}
  return {
    slots: decodeAmount(slots),
    processors: decodeAmount(Number(processors)),
    memory: decodeAmount(Number(memory)),
    accelerators: decodeAmount(accelerators)
  }
}

function decodePlace ({ dataCentre, region, peerAddress }: wire.Place): Place {
  return { dataCentre, region, peerAddress }
}

/** Rounds up, so that nothing appears fresher than it is. */
function encodeAge<Age extends number | undefined> (age: Age): Age {
  return (age === undefined ? undefined : Math.min(MAX_AGE_MS, Math.max(0, Math.ceil(age)))) as Age
}

function decodeState (state: wire.State): InstanceState {
  if (state === wire.State.SERVING) return 'serving'
  return state === wire.State.DRAINING ? 'draining' : 'starting'
}
