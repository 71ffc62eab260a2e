/** Identities of instances, requests and attempts. */

/** One process of an entry instance; the incarnation is random for each process start. */
export interface InstanceRef {
  readonly name: string
  readonly incarnation: string
}

/** The key under which records name an incarnation. */
export type IncarnationKey = `${string}/${string}`

export function incarnationKey (ref: InstanceRef): IncarnationKey {
  return `${ref.name}/${ref.incarnation}`
}

export function parseIncarnationKey (key: string): InstanceRef {
  const separator = key.lastIndexOf('/')
  return { name: key.slice(0, separator), incarnation: key.slice(separator + 1) }
}

export function sameInstance (left: InstanceRef, right: InstanceRef): boolean {
  return left.name === right.name && left.incarnation === right.incarnation
}

/** Where an instance or a target is. */
export interface Location {
  readonly dataCentre: string
  readonly region: string
}
