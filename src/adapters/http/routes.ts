/** Routes of `JsonServer`: path patterns, and handlers that respond with JSON. */
import type { ServerResponse } from 'node:http'

export interface RouteRequest {
  /** Values of the pattern's `:name` segments, percent-decoded. */
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** The parsed JSON body; undefined if the request has none. */
  readonly body: unknown
  /** Aborts when the client's connection closes, which also happens when the server stops. */
  readonly signal: AbortSignal
  readonly response: ServerResponse
}

export interface RouteResponse {
  readonly status: number
  readonly body: unknown
}

/** Resolves with the response, or undefined if the handler wrote to `response` itself. */
export type RouteHandler = (call: RouteRequest) => Promise<RouteResponse | undefined>

export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Such as `/v1/tasks/:id/renew`. */
  readonly pattern: string
  readonly handle: RouteHandler
}

export interface RouteMatch {
  readonly route: Route
  readonly parameters: Readonly<Record<string, string>>
}

/**
 * Finds the first route that matches a request.
 *
 * @example
 * matchRoute(routes, 'GET', '/v1/tasks/task-1') // parameters: { id: 'task-1' }
 */
export function matchRoute (routes: readonly Route[], method: string, path: string): RouteMatch | undefined {
  const segments = path.split('/')
  for (const route of routes) {
    if (route.method !== method) continue
    const parameters = matchPattern(route.pattern.split('/'), segments)
    if (parameters !== undefined) return { route, parameters }
  }
  return undefined
}

function matchPattern (pattern: readonly string[], segments: readonly string[]): Record<string, string> | undefined {
  if (pattern.length !== segments.length) return undefined
  const parameters: Record<string, string> = {}
  for (const [index, part] of pattern.entries()) {
    const segment = segments[index] ?? ''
    if (part.startsWith(':')) parameters[part.slice(1)] = decodeURIComponent(segment)
    else if (part !== segment) return undefined
  }
  return parameters
}
