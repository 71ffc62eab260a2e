/** Small helpers for HTTP servers and calls on loopback. */
import { request as httpRequest } from 'node:http'

export async function listen (server, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return `127.0.0.1:${server.address().port}`
}

export async function readJson (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}

export function answerJson (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Resolves with the status and the body; status 0 if there was no answer within the time. */
export async function call ({ address, method, path, headers = {}, body, timeoutMs = 3_000, agent }) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : JSON.stringify(body)
  return await new Promise(resolve => {
    const request = httpRequest({
      host,
      port: Number(port),
      method,
      path,
      agent,
      headers: { ...headers, ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) }
    }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => finish({ status: response.statusCode, body: parse(Buffer.concat(chunks).toString('utf8')) }))
      response.on('error', () => finish({ status: 0 }))
    })
    const timer = setTimeout(() => {
      request.destroy()
      finish({ status: 0 })
    }, timeoutMs)
    function finish (answer) {
      clearTimeout(timer)
      resolve(answer)
    }
    request.on('error', () => finish({ status: 0 }))
    request.end(text)
  })
}

function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
