/** Cuts the input of a connection into parts that hold at most two requests each. */

/** The shortest request, `GET / HTTP/1.0` and an empty line; what is shorter does not end a further request. */
const SHORTEST_REQUEST_BYTES = 16
/** Parsing this many bytes in chunks of one byte takes about a millisecond. */
const MAX_PART_BYTES = 4_096
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/**
 * Returns the end of the first empty line that is far enough from the start, or -1 if there is none. The headers of a
 * request end with an empty line, so that a parser that is given one part after another can be stopped between requests.
 *
 * @example
 * findPartEnd(Buffer.from('GET / HTTP/1.1\r\n\r\nGET /'), 0) // 18
 */
export function findPartEnd (input: Buffer, start: number, shortestBytes = SHORTEST_REQUEST_BYTES): number {
  let position = input.indexOf(LINE_FEED, start)
  while (position !== -1) {
    const next = input[position + 1] === CARRIAGE_RETURN ? position + 2 : position + 1
    if (input[next] === LINE_FEED && next + 1 - start >= shortestBytes) return next + 1
    position = input.indexOf(LINE_FEED, position + 1)
  }
  return -1
}

/** Input that has been read from a connection and not been given to the parser. */
export class RequestInput {
  #buffer: Buffer = Buffer.alloc(0)
  #start = 0

  /** Bytes that the input keeps in memory. */
  get heldBytes (): number {
    return this.#buffer.length
  }

  get isEmpty (): boolean {
    return this.#start === this.#buffer.length
  }

  get length (): number {
    return this.#buffer.length - this.#start
  }

  append (chunk: Buffer): void {
    this.#buffer = this.isEmpty ? chunk : Buffer.concat([this.#buffer.subarray(this.#start), chunk])
    this.#start = 0
  }

  /** Whether the input holds an empty line, which may end the head of a request. The parser may have the start of that head. */
  get hasPart (): boolean {
    return findPartEnd(this.#buffer, this.#start, 1) !== -1
  }

  /** Removes the next part, or as much as a part may have if none ends earlier. */
  take (): Buffer {
    const end = findPartEnd(this.#buffer.subarray(0, this.#start + MAX_PART_BYTES), this.#start)
    return this.takeBytes((end === -1 ? Math.min(this.#buffer.length, this.#start + MAX_PART_BYTES) : end) - this.#start)
  }

  takeBytes (bytes: number): Buffer {
    const part = this.#buffer.subarray(this.#start, this.#start + bytes)
    this.#start += part.length
    if (this.isEmpty) this.clear()
    return part
  }

  clear (): void {
    this.#buffer = Buffer.alloc(0)
    this.#start = 0
  }
}
