/** Identity and location of instances. */

/** One process of an entry instance; the incarnation is chosen at random at each process start. */
export interface InstanceRef {
  readonly name: string
  readonly incarnation: string
}

/** The key that identifies an incarnation in stored records. */
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

/** Data centre and region of an instance or a target. */
export interface Location {
  readonly dataCentre: string
  readonly region: string
}
