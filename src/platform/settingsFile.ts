/** Reads the settings of an instance from the platform's settings file. */
import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { z } from 'zod'
import { DEFAULT_FRONT_END_LIMITS, deriveClientShare } from '../adapters/http/frontEndLimits.ts'
import type { FrontEndLimits } from '../adapters/http/frontEndLimits.ts'
import { InputError } from '../model/errors.ts'

/** Field names are defined by the platform; unknown fields are ignored. */
const fileSchema = z.object({
  node_name: z.string().min(1),
  ip: z.string().min(1),
  zone: z.string().min(1),
  region: z.string().default(''),
  zones: z.record(z.string(), z.string()).default({}),
  internal_ports: z.tuple([z.number().int(), z.number().int()]),
  control_mode: z.string().default('invocation'),
  recommendation: z.string().default(''),
  listen_addrs: z.object({ frontend: z.string(), ready: z.string() }),
  limits: z.object({
    cpu_quota: z.number().positive().default(1),
    cpu_cores: z.number().positive().default(1),
    bandwidth_mbps: z.number().positive().default(1_000),
    memory_mb: z.number().positive().optional(),
    max_fds: z.number().positive().optional()
  }).default({ cpu_quota: 1, cpu_cores: 1, bandwidth_mbps: 1_000 }),
  front_end: z.object({
    memory_mb: z.number().positive().optional(),
    connections: z.number().int().positive().optional(),
    header_timeout_ms: z.number().positive().optional(),
    body_timeout_ms: z.number().positive().optional(),
    answer_timeout_ms: z.number().positive().optional(),
    idle_timeout_ms: z.number().positive().optional(),
    pipelined_requests: z.number().int().positive().optional()
  }).default({}),
  admission: z.object({ by_expected_end: z.boolean().default(false) }).default({ by_expected_end: false }),
  bounds: z.object({
    grace_s: z.number().positive(),
    hold_max_ms: z.number().positive(),
    status_s: z.number().positive().default(120),
    remote_factor: z.number().positive().default(1)
  }),
  platform: z.object({
    address: z.string().min(1),
    ttl_min_ms: z.number().positive().default(1_000)
  })
})

/** Settings that an instance receives from the platform. */
export interface PlatformSettings {
  readonly instance: string
  readonly ip: string
  /** Processors that the instance may use, expressed as full processors of a common speed. */
  readonly processors: number
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly bandwidthMbps: number
  /** Limits that protect the instance from its clients. */
  readonly frontEnd: FrontEndLimits
  readonly dataCentre: string
  readonly region: string
  /** Regions of the data centres, by name. */
  readonly regionsByDataCentre: Readonly<Record<string, string>>
  readonly peerPort: number
  readonly metricsPort: number
  readonly callerAddress: string
  readonly readinessAddress: string
  readonly storeAddress: string
  readonly shortestStoreLeaseMs: number
  /** Empty if no queue requires advice. */
  readonly advisorAddress: string
  /** Time between the stop signal and forced termination. */
  readonly stopGraceMs: number
  readonly longestTargetLeaseMs: number
  /** How long the state of a finished job must remain available. */
  readonly finishedJobMs: number
  /** Factor by which a run is expected to take longer away from its data, or for a group on several racks, until that has been learned. */
  readonly remoteFactor: number
  /** Whether submissions are judged by when they could end; otherwise by how many jobs of their team wait. */
  readonly admitsByExpectedEnd: boolean
}

const MS_PER_SECOND = 1_000
const BYTES_PER_MB = 1_048_576

/**
 * Parses the text of a settings file; throws an `InputError` that names each invalid field.
 *
 * @example
 * const settings = parseSettings(readFileSync('/etc/agategauge/local.toml', 'utf8'))
 */
export function parseSettings (text: string): PlatformSettings {
  let raw: unknown
  try {
    raw = parse(text)
  } catch (error) {
    throw new InputError('the settings file is not valid TOML:', { cause: error })
  }
  const parsed = fileSchema.safeParse(raw)
  if (!parsed.success) throw new InputError(`the settings file is invalid: ${z.prettifyError(parsed.error)}`)
  const file = parsed.data
  if (file.control_mode !== 'invocation') {
    throw new InputError(`control_mode = "${file.control_mode}" is not supported; only "invocation" is`)
  }
  return {
    instance: file.node_name,
    ip: file.ip,
    processors: file.limits.cpu_quota * file.limits.cpu_cores,
    bandwidthMbps: file.limits.bandwidth_mbps,
    frontEnd: decodeFrontEndLimits(file),
    dataCentre: file.zone,
    region: file.region,
    regionsByDataCentre: file.zones,
    peerPort: file.internal_ports[0],
    metricsPort: file.internal_ports[0] + 1,
    callerAddress: file.listen_addrs.frontend,
    readinessAddress: file.listen_addrs.ready,
    storeAddress: file.platform.address,
    shortestStoreLeaseMs: file.platform.ttl_min_ms,
    advisorAddress: file.recommendation,
    stopGraceMs: file.bounds.grace_s * MS_PER_SECOND,
    longestTargetLeaseMs: file.bounds.hold_max_ms,
    finishedJobMs: file.bounds.status_s * MS_PER_SECOND,
    remoteFactor: Math.max(1, file.bounds.remote_factor),
    admitsByExpectedEnd: file.admission.by_expected_end
  }
}

function decodeFrontEndLimits ({ limits, front_end: own }: z.infer<typeof fileSchema>): FrontEndLimits {
  const share = deriveClientShare(limits.memory_mb, limits.max_fds)
  const defaults = DEFAULT_FRONT_END_LIMITS
  return {
    memoryBytes: own.memory_mb === undefined ? share.memoryBytes : own.memory_mb * BYTES_PER_MB,
    connections: own.connections ?? share.connections,
    headerTimeoutMs: own.header_timeout_ms ?? defaults.headerTimeoutMs,
    bodyTimeoutMs: own.body_timeout_ms ?? defaults.bodyTimeoutMs,
    answerTimeoutMs: own.answer_timeout_ms ?? defaults.answerTimeoutMs,
    idleTimeoutMs: own.idle_timeout_ms ?? defaults.idleTimeoutMs,
    pipelinedRequests: own.pipelined_requests ?? defaults.pipelinedRequests
  }
}

/** Reads and parses a settings file. */
export function readSettings (path: string): PlatformSettings {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    throw new InputError(`the settings file ${path} cannot be read:`, { cause: error })
  }
  return parseSettings(text)
}
