/** Decodes exchange answers, whose entries refer to instances by handles from earlier answers of the same callee. */
import type { KnownAnswer, NamedUpdate } from '../model/digest.ts'
import type { InstanceRef } from '../model/identity.ts'
import type { ExchangeAnswer } from '../ports/peerClient.ts'

interface CalleeState {
  readonly incarnation: string
  readonly handles: Map<number, InstanceRef>
  revision: number
}

/**
 * Handles and revisions are valid for one incarnation at one address.
 *
 * @example
 * const known = decoder.lastAnswerFrom(address)
 * const updates = decoder.decode(address, known, await peers.exchange(address, { ...sender, known }, false))
 */
export class AnswerDecoder {
  readonly #callees = new Map<string, CalleeState>()

  /** The last answer from the address, which the next request refers to. */
  lastAnswerFrom (address: string): KnownAnswer | undefined {
    const callee = this.#callees.get(address)
    return callee && { incarnation: callee.incarnation, revision: callee.revision }
  }

  /** Returns the entries whose handles can be resolved; none if the answer relies on an unknown earlier answer. */
  decode (address: string, lastAnswer: KnownAnswer | undefined, { instances, revision }: ExchangeAnswer): readonly NamedUpdate[] {
    const incarnation = instances[0]?.ref?.incarnation ?? lastAnswer?.incarnation
    if (incarnation === undefined) return []
    let callee = this.#callees.get(address)
    if (callee?.incarnation !== incarnation) {
      // An answer without the callee's identity relies on handles that were dropped here.
      if (instances[0]?.ref === undefined) return []
      callee = { incarnation, handles: new Map(), revision }
      this.#callees.set(address, callee)
    }
    callee.revision = revision
    return this.#resolveHandles(callee, instances)
  }

  /** Drops the state of addresses that are no longer peers. */
  retain (addresses: ReadonlySet<string>): void {
    for (const address of this.#callees.keys()) if (!addresses.has(address)) this.#callees.delete(address)
  }

  #resolveHandles ({ handles }: CalleeState, instances: ExchangeAnswer['instances']): readonly NamedUpdate[] {
    return instances.flatMap(update => {
      if (update.ref !== undefined) handles.set(update.handle, update.ref)
      const ref = handles.get(update.handle)
      return ref === undefined ? [] : [{ ...update, ref }]
    })
  }
}
