/** JSON log lines that never contain a key, a token or a secret. */
import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'
import type { Verdict } from '../model/verdict.ts'

export type { Logger } from 'pino'

/** Fields of lines that concern one request. */
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
  /** Values of this process that must not be logged: the peer secret and the operators' token. */
  readonly secrets: readonly string[]
  readonly destination?: DestinationStream
  /** The process logs no objects of others, so that redaction by field, half of the cost of a line, is left out. */
  readonly skipFieldRedaction?: boolean
}

/** Start of every key, by which keys are recognised in text. */
export const KEY_PREFIX = 'agk_'

/** Lines are dropped while so much waits for a reader that does not keep up. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024

const REPLACEMENT = '[redacted]'
const KEY_PATTERN = /agk_[A-Za-z0-9_-]+/g
const BEARER_PATTERN = /\b(bearer)[ \t]+[^\s"\\]+/gi
const SECRET_FIELDS = ['key', 'token', 'secret', 'password', 'authorization', 'operatorToken', 'peerSecret', 'cookie']
/** Fields are redacted by name at the top and two levels below; text is redacted by pattern at any depth. */
const REDACTED_PATHS = SECRET_FIELDS.flatMap(field => [field, `*.${field}`, `*.*.${field}`])

/** Replaces keys, bearer tokens and the given secrets in a line of JSON. */
export function redactLine (line: string, secrets: readonly string[]): string {
  const withoutSecrets = secrets.reduce((text, secret) =>
    secret === '' ? text : text.replaceAll(JSON.stringify(secret).slice(1, -1), REPLACEMENT), line)
  return withoutSecrets.replace(KEY_PATTERN, REPLACEMENT).replace(BEARER_PATTERN, `$1 ${REPLACEMENT}`)
}

/**
 * Creates the logger of a process; each line names the instance and its data centre.
 *
 * @example
 * const logger = createLogger({ level: 'info', instance: 'entry-1', dataCentre: 'howrah', secrets: [peerSecret, operatorToken] })
 * logger.warn({ team, requestId, verdict: 'not-run', code: 'shed' }, 'refused')
 */
export function createLogger (options: LoggerOptions): Logger {
  const target = options.destination ?? pino.destination({ fd: 1, sync: false, maxLength: MAX_BUFFERED_BYTES })
  const redacted: DestinationStream = { write: line => target.write(redactLine(line, options.secrets)) }
  return pino({
    level: options.level,
    base: { instance: options.instance, dataCentre: options.dataCentre },
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: label => ({ level: label }) },
    ...(options.skipFieldRedaction === true ? {} : { redact: { paths: REDACTED_PATHS, censor: REPLACEMENT } })
  }, redacted)
}
