/** The settings of one process: names, units, ranges and defaults as written. */
import type { SettingUnit } from './units.ts'

export interface InstanceField {
  readonly name: string
  readonly unit: SettingUnit
  readonly description: string
  /** The default as written in the file; a field without one is required. */
  readonly defaultText?: string
  readonly minimum?: number
  readonly maximum?: number
}

/** Shortest peer secret and operator token, in characters. */
export const MIN_SECRET_LENGTH = 16

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

const TIMEOUT = { unit: 'duration', minimum: 10, maximum: 600_000 } as const

export const INSTANCE_FIELDS = [
  { name: 'name', unit: 'name', description: 'Name of the instance, as in the platform\'s list.' },
  { name: 'dataCentre', unit: 'name', description: 'Data centre in which the instance runs.' },
  { name: 'region', unit: 'name', description: 'Region of the data centre.' },
  { name: 'callerAddress', unit: 'address', description: 'Where callers connect: HOST:PORT.' },
  { name: 'operatorAddress', unit: 'address', description: 'Where operators connect: HOST:PORT.' },
  { name: 'peerAddress', unit: 'address', description: 'Where other instances connect: HOST:PORT, reachable from every data centre.' },
  { name: 'storeAddress', unit: 'address', description: 'The platform\'s key-value store: HOST:PORT.' },
  { name: 'listAddress', unit: 'address', description: 'The platform\'s instance list: HOST:PORT.' },
  { name: 'peers', unit: 'addresses', defaultText: '', description: 'Peer addresses of some other instances, separated by commas, for when the list can not be read at the start.' },
  { name: 'peerSecret', unit: 'secret', description: 'Shared by all instances, at least 16 characters.' },
  { name: 'operatorToken', unit: 'secret', description: 'Sent by operators, at least 16 characters.' },
  { name: 'logLevel', unit: 'level', defaultText: 'info', description: `Least severe lines that are logged: ${LOG_LEVELS.join(', ')}.` },
  { name: 'bodyLimit', unit: 'bytes', defaultText: '4 MB', minimum: 1_024, maximum: 67_108_864, description: 'Largest body of a caller\'s request.' },
  { name: 'connectionLimit', unit: 'count', defaultText: '4096', minimum: 1, maximum: 65_536, description: 'Most connections of callers at once.' },
  { name: 'requestTimeout', ...TIMEOUT, defaultText: '15 s', description: 'Time in which a caller must have sent its whole request.' },
  { name: 'connectTimeout', ...TIMEOUT, defaultText: '500 ms', description: 'Time to connect to a target, a peer, the store or the list.' },
  { name: 'storeTimeout', ...TIMEOUT, defaultText: '2 s', description: 'Time for one call of the store.' },
  { name: 'listTimeout', ...TIMEOUT, defaultText: '2 s', description: 'Time for one read of the list.' },
  { name: 'peerTimeout', ...TIMEOUT, defaultText: '1 s', description: 'Time for one call of a peer; forwarded requests have their own deadline.' },
  { name: 'stopTimeout', ...TIMEOUT, defaultText: '30 s', description: 'Time for a planned stop; requests that still run are then cut off.' }
] as const satisfies readonly InstanceField[]

export type InstanceFieldName = typeof INSTANCE_FIELDS[number]['name']
