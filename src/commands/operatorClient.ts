/** HTTP client of an instance's operator API. */
import { Agent, request } from 'undici'
import type { ConfigurationSnapshot } from '../model/change.ts'
import { CHANGE_STATUS, OPERATOR_PATHS } from '../observability/operatorApi.ts'
import type { ChangeAnswer, ChangeSubmission, DrainAnswer, StatusReport } from '../observability/operatorApi.ts'
import { parseAddress } from '../settings/instanceSettings.ts'
import { CommandError, errorCode, EXIT_CODES } from './commandContext.ts'
import type { CommandContext } from './commandContext.ts'
import type { ConnectionArguments } from './commandBuilder.ts'

const CONNECT_TIMEOUT_MS = 5_000
/** Added to the wait that the operator requested. */
const RESPONSE_TIMEOUT_MS = 15_000
/** Attempts to submit a change whose response is lost. The change ID ensures that it is applied at most once. */
const MAX_SEND_ATTEMPTS = 3

interface HttpResponse {
  readonly status: number
  readonly body: unknown
}

/** The request may have reached the instance, but its response was lost. */
class ResponseLostError extends CommandError {}

/**
 * Operator API client of one instance.
 *
 * @example
 * const client = createOperatorClient({ address: '127.0.0.1:8001', token, json: false }, context)
 * try { await client.readStatus() } finally { await client.close() }
 */
export class OperatorClient {
  readonly #address: string
  readonly #token: string
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 1 })

  constructor (address: string, token: string) {
    this.#address = address
    this.#token = token
  }

  async readConfiguration (): Promise<ConfigurationSnapshot> {
    return await this.#callOrThrow('GET', OPERATOR_PATHS.configuration) as ConfigurationSnapshot
  }

  async readStatus (): Promise<StatusReport> {
    return await this.#callOrThrow('GET', OPERATOR_PATHS.status) as StatusReport
  }

  async drainSelf (): Promise<DrainAnswer> {
    return await this.#callOrThrow('POST', OPERATOR_PATHS.drain, { scope: 'self' }) as DrainAnswer
  }

  /** Submits a change; if the response is lost, retries with the same change ID. */
  async submitChange (submission: ChangeSubmission): Promise<ChangeAnswer> {
    let lastUnknownOutcome: ChangeAnswer | undefined
    for (let attempt = 1; attempt <= MAX_SEND_ATTEMPTS; attempt++) {
      try {
        const { status, body } = await this.#call('POST', OPERATOR_PATHS.changes, submission, submission.waitMs)
        const answer = parseChangeAnswer(body)
        if (answer === undefined) throw this.#createStatusError(status, body, status >= 500)
        if (answer.outcome !== 'unavailable' || !answer.mayHaveBeenAccepted) {
          if (lastUnknownOutcome !== undefined && answer.outcome === 'unavailable') return lastUnknownOutcome
          return answer
        }
        lastUnknownOutcome = answer
      } catch (error) {
        if (error instanceof ResponseLostError) lastUnknownOutcome = { outcome: 'unavailable', message: error.message, mayHaveBeenAccepted: true }
        else if (lastUnknownOutcome === undefined || !(error instanceof CommandError) || error.exitCode !== EXIT_CODES.unreachable) throw error
      }
    }
    return lastUnknownOutcome ?? { outcome: 'unavailable', message: `${this.#address} can't be reached`, mayHaveBeenAccepted: false }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #callOrThrow (method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
    const answer = await this.#call(method, path, body)
    if (answer.status >= 300) throw this.#createStatusError(answer.status, answer.body)
    return answer.body
  }

  async #call (method: 'GET' | 'POST', path: string, body?: unknown, waitMs = 0): Promise<HttpResponse> {
    const timeout = RESPONSE_TIMEOUT_MS + waitMs
    try {
      const response = await request(`http://${this.#address}${path}`, {
        method,
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json' },
        dispatcher: this.#agent,
        headersTimeout: timeout,
        bodyTimeout: timeout
      })
      const text = await response.body.text()
      return { status: response.statusCode, body: parseJson(text) }
    } catch (cause) {
      throw this.#createRequestError(method, cause)
    }
  }

  #createRequestError (method: string, cause: unknown): CommandError {
    const code = errorCode(cause)
    const notSent = ['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'].includes(code)
    const message = `can't reach an instance at ${this.#address} (${code}); check the address or try another instance`
    if (method === 'GET' || notSent) return new CommandError(message, EXIT_CODES.unreachable, { cause })
    return new ResponseLostError(`the response of ${this.#address} was lost (${code})`, EXIT_CODES.unreachable, { cause })
  }

  /** Creates the error for an unexpected status. An instance that fails while it handles a change may have accepted it. */
  #createStatusError (status: number, body: unknown, mayHaveEffect = false): CommandError {
    if (status === 401) return new CommandError(`${this.#address} rejected the token; check --token or AGATEGAUGE_TOKEN`, EXIT_CODES.rejected)
    const details = typeof body === 'object' && body !== null ? body as { readonly message?: unknown, readonly messages?: unknown } : {}
    const text = [details.message, ...(Array.isArray(details.messages) ? details.messages : [])].filter(part => typeof part === 'string').join('\n')
    const message = `${this.#address} returned HTTP status ${status}${text === '' ? '; is it the operator address of an instance?' : `: ${text}`}`
    if (mayHaveEffect) return new ResponseLostError(message, EXIT_CODES.unreachable)
    return new CommandError(message, status >= 500 ? EXIT_CODES.unreachable : EXIT_CODES.rejected)
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function parseChangeAnswer (body: unknown): ChangeAnswer | undefined {
  const outcome = typeof body === 'object' && body !== null && 'outcome' in body ? body.outcome : undefined
  return typeof outcome === 'string' && Object.hasOwn(CHANGE_STATUS, outcome) ? body as ChangeAnswer : undefined
}

/** Creates a client from the command-line options or the environment. */
export function createOperatorClient (args: ConnectionArguments, context: CommandContext): OperatorClient {
  const address = args.address ?? context.environment.AGATEGAUGE_OPERATOR
  const token = args.token ?? context.environment.AGATEGAUGE_TOKEN
  if (address === undefined || address === '') throw new CommandError('give the operator address of an instance: --address HOST:PORT, or set AGATEGAUGE_OPERATOR', EXIT_CODES.usageError)
  if (parseAddress(address) === undefined) throw new CommandError(`"${address}" is not an address; write HOST:PORT, such as 10.0.0.5:8001`, EXIT_CODES.usageError)
  if (token === undefined || token === '') throw new CommandError('give the operator token: set AGATEGAUGE_TOKEN, or use --token', EXIT_CODES.usageError)
  if (!/^[\x21-\x7e]+$/.test(token)) throw new CommandError('the operator token contains characters that are not allowed in an HTTP header; check --token or AGATEGAUGE_TOKEN', EXIT_CODES.usageError)
  return new OperatorClient(address, token)
}

/** Runs a function with a client and closes the client afterwards. */
export async function withOperatorClient<Result> (args: ConnectionArguments, context: CommandContext, body: (client: OperatorClient) => Promise<Result>): Promise<Result> {
  const client = createOperatorClient(args, context)
  try {
    return await body(client)
  } finally {
    await client.close()
  }
}
