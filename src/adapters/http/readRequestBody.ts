/** Reads the body of an HTTP request. */
import type { IncomingMessage } from 'node:http'
import { BaseError } from '../../model/errors.ts'

/**
 * Resolves with the body, or with undefined as soon as it is longer than the limit in bytes; the rest is then discarded.
 * Rejects if the request breaks off. Cheaper than `node:stream/consumers`, which creates a `Blob` for each body.
 *
 * @example
 * const body = await readRequestBody(request, 262_144)
 * if (body === undefined) return tooLarge()
 */
export function readRequestBody (request: IncomingMessage, maximumBytes = Infinity): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes <= maximumBytes) {
        chunks.push(chunk)
      } else {
        chunks.length = 0
        resolve(undefined)
      }
    })
    request.once('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)))
    request.once('error', reject)
    request.once('close', () => {
      if (!request.complete) reject(new BaseError('the connection was closed before the whole body had arrived'))
    })
  })
}
