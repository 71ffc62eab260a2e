/** Counts bytes by part of the protocol. */
export class ByteCounts {
  readonly #bytes = new Map<string, number>()

  add (part: string, bytes: number): void {
    this.#bytes.set(part, (this.#bytes.get(part) ?? 0) + bytes)
  }

  get total (): number {
    return [...this.#bytes.values()].reduce((sum, bytes) => sum + bytes, 0)
  }

  get parts (): ReadonlyMap<string, number> {
    return this.#bytes
  }

  clear (): void {
    this.#bytes.clear()
  }
}
