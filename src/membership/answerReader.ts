/** Completes the entries of answers with what earlier answers of the same instance said. */
import type { KnownAnswer, NamedUpdate } from '../model/digest.ts'
import type { InstanceRef } from '../model/identity.ts'
import type { ExchangeAnswer } from '../ports/peerClient.ts'

interface CalleeState {
  readonly incarnation: string
  readonly handles: Map<number, InstanceRef>
  revision: number
}

/**
 * Handles and revisions hold for one incarnation at one address.
 *
 * @example
 * const known = reader.knownOf(address)
 * const updates = reader.read(address, known, await peers.exchange(address, { ...sender, known }, false))
 */
export class AnswerDecoder {
  readonly #callees = new Map<string, CalleeState>()

  /** The last answer of the instance at the address, to be named in the next request. */
  lastAnswerFrom (address: string): KnownAnswer | undefined {
    const callee = this.#callees.get(address)
    return callee && { incarnation: callee.incarnation, revision: callee.revision }
  }

  /** The entries whose instances are known; none if the answer does not belong to the request. */
  decode (address: string, lastAnswer: KnownAnswer | undefined, { instances, revision }: ExchangeAnswer): readonly NamedUpdate[] {
    const incarnation = instances[0]?.ref?.incarnation ?? lastAnswer?.incarnation
    if (incarnation === undefined) return []
    let callee = this.#callees.get(address)
    if (callee?.incarnation !== incarnation) {
      // Without the identity of the callee, the answer counts on handles that were dropped.
      if (instances[0]?.ref === undefined) return []
      callee = { incarnation, handles: new Map(), revision }
      this.#callees.set(address, callee)
    }
    callee.revision = revision
    return this.#resolveHandles(callee, instances)
  }

  /** Forgets the addresses that are no peers any more. */
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
