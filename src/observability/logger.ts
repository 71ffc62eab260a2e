/** JSON logger that redacts keys, tokens and secrets. */
import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'
import type { Verdict } from '../model/verdict.ts'

export type { Logger } from 'pino'

/** Fields of log lines about one request. */
export interface RequestLogFields {
  readonly team?: string
  readonly requestId?: string
  readonly verdict?: Verdict
  readonly code?: string
}

export interface LoggerOptions {
  readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent'
  readonly instance: string
  readonly dataCentre: string
  /** Secret values of this process that must not be logged, such as the peer secret and the operators' token. */
  readonly secrets: readonly string[]
  readonly destination?: DestinationStream
  /** Skips redaction by field name, which is half of the cost of a log line. Only for a process that logs no externally supplied objects. */
  readonly skipFieldRedaction?: boolean
}

/** Prefix of every API key, by which keys are recognised in text. */
export const KEY_PREFIX = 'agk_'

/** Log lines are dropped while this much output is buffered because the reader does not keep up. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024
/** Lines are written together, since a write costs as much processor time as several lines; none waits longer than the interval. */
const MIN_WRITE_BYTES = 8_192
const FLUSH_INTERVAL_MS = 100

const REPLACEMENT = '[redacted]'
const KEY_PATTERN = /agk_[A-Za-z0-9_-]+/g
const BEARER_PATTERN = /\b(bearer)[ \t]+[^\s"\\]+/gi
const SECRET_FIELDS = ['key', 'token', 'secret', 'password', 'authorization', 'operatorToken', 'peerSecret', 'cookie']
/** Fields are redacted by name at the top level and two levels below; text is redacted by pattern at any depth. */
const REDACTED_PATHS = SECRET_FIELDS.flatMap(field => [field, `*.${field}`, `*.*.${field}`])

/** Replaces keys, bearer tokens and the given secrets in a JSON log line. */
export function redactLine (line: string, secrets: readonly string[]): string {
  const withoutSecrets = secrets.reduce((text, secret) =>
    secret === '' ? text : text.replaceAll(JSON.stringify(secret).slice(1, -1), REPLACEMENT), line)
  return withoutSecrets.replace(KEY_PATTERN, REPLACEMENT).replace(BEARER_PATTERN, `$1 ${REPLACEMENT}`)
}

/**
 * Creates the logger of a process; each line contains the instance and its data centre.
 *
 * @example
 * const logger = createLogger({ level: 'info', instance: 'entry-1', dataCentre: 'howrah', secrets: [peerSecret, operatorToken] })
 * logger.warn({ team, requestId, verdict: 'not-run', code: 'shed' }, 'refused')
 */
export function createLogger (options: LoggerOptions): Logger {
  const target = options.destination ?? pino.destination({ fd: 1, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_INTERVAL_MS })
  const redacted: DestinationStream = { write: line => target.write(redactLine(line, options.secrets)) }
  return pino({
    level: options.level,
    base: { instance: options.instance, dataCentre: options.dataCentre },
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: label => ({ level: label }) },
    ...(options.skipFieldRedaction === true ? {} : { redact: { paths: REDACTED_PATHS, censor: REPLACEMENT } })
  }, redacted)
}
