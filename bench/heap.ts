/** Heap in use after garbage collection. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

export const BYTES_PER_MB = 1_048_576

export function heapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

export function residentBytes (): number {
  collectGarbage()
  return process.memoryUsage().rss
}
