/** Definitions of the per-instance settings: names, units, ranges and defaults. */
import type { SettingUnit } from './units.ts'

export interface InstanceField {
  readonly name: string
  readonly unit: SettingUnit
  readonly description: string
  /** Default value in file notation; a field without one is required. */
  readonly defaultText?: string
  readonly minimum?: number
  readonly maximum?: number
}

/** Minimum length of the peer secret and of the operator token, in characters. */
export const MIN_SECRET_LENGTH = 16

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

const TIMEOUT = { unit: 'duration', minimum: 10, maximum: 600_000 } as const

export const INSTANCE_FIELDS = [
  { name: 'name', unit: 'name', description: 'Name of the instance, as in the platform\'s instance list.' },
  { name: 'dataCentre', unit: 'name', description: 'Data centre in which the instance runs.' },
  { name: 'region', unit: 'name', description: 'Region of the data centre.' },
  { name: 'callerAddress', unit: 'address', description: 'Address to which callers connect: HOST:PORT.' },
  { name: 'operatorAddress', unit: 'address', description: 'Address to which operators connect: HOST:PORT.' },
  { name: 'peerAddress', unit: 'address', description: 'Address to which other instances connect: HOST:PORT. It must be reachable from every data centre.' },
  { name: 'storeAddress', unit: 'address', description: 'Address of the platform\'s key-value store: HOST:PORT.' },
  { name: 'listAddress', unit: 'address', description: 'Address of the platform\'s instance list: HOST:PORT.' },
  { name: 'peers', unit: 'addresses', defaultText: '', description: 'Peer addresses of other instances, separated by commas. They are used if the instance list cannot be read at startup.' },
  { name: 'peerSecret', unit: 'secret', description: 'Secret shared by all instances; at least 16 characters.' },
  { name: 'operatorToken', unit: 'secret', description: 'Token that operators send with their requests; at least 16 characters.' },
  { name: 'logLevel', unit: 'level', defaultText: 'info', description: `Minimum severity of log lines: ${LOG_LEVELS.join(', ')}.` },
  { name: 'bodyLimit', unit: 'bytes', defaultText: '4 MB', minimum: 1_024, maximum: 67_108_864, description: 'Maximum size of the body of a caller\'s request.' },
  { name: 'connectionLimit', unit: 'count', defaultText: '4096', minimum: 1, maximum: 65_536, description: 'Maximum number of concurrent caller connections.' },
  { name: 'clientMemory', unit: 'bytes', defaultText: '32 MB', minimum: 1_048_576, maximum: 4_294_967_296, description: 'Maximum memory for incomplete bodies, unread requests and unread answers of all callers together. When it is used up, the caller that has held the most for the longest time is refused with status 503, or its connection is closed. For each 12 KB of it, one read or cancel of a request may be in progress; further ones are refused with status 503. It must be at least `bodyLimit`.' },
  { name: 'headerTimeout', ...TIMEOUT, defaultText: '10 s', description: 'Timeout for receiving the headers of a request, from their first byte on; at most `requestTimeout`.' },
  { name: 'answerTimeout', ...TIMEOUT, defaultText: '60 s', description: 'Time after which the connection of a caller is closed that reads nothing of an answer.' },
  { name: 'idleTimeout', ...TIMEOUT, defaultText: '60 s', description: 'Time after which a connection without any request is closed.' },
  { name: 'pipelinedRequests', unit: 'count', defaultText: '16', minimum: 1, maximum: 1_000, description: 'Requests of one connection without a written answer. At this number, reading from the connection pauses.' },
  { name: 'requestTimeout', ...TIMEOUT, defaultText: '15 s', description: 'Timeout for receiving a caller\'s complete request.' },
  { name: 'connectTimeout', ...TIMEOUT, defaultText: '500 ms', description: 'Timeout for connecting to a target, a peer, the store or the instance list.' },
  { name: 'storeTimeout', ...TIMEOUT, defaultText: '2 s', description: 'Timeout for one call to the store.' },
  { name: 'listTimeout', ...TIMEOUT, defaultText: '2 s', description: 'Timeout for one read of the instance list.' },
  { name: 'peerTimeout', ...TIMEOUT, defaultText: '1 s', description: 'Timeout for one call to a peer; forwarded requests have their own deadline.' },
  { name: 'stopTimeout', ...TIMEOUT, defaultText: '30 s', description: 'Timeout for a graceful shutdown; requests still running after it are aborted.' },
  { name: 'leaveDelay', unit: 'duration', defaultText: '1 s', minimum: 0, maximum: 60_000, description: 'Minimum time for which a stopping instance keeps listening, refusing new requests, so that the load balancer can take it out of use.' }
] as const satisfies readonly InstanceField[]

export type InstanceFieldName = typeof INSTANCE_FIELDS[number]['name']
