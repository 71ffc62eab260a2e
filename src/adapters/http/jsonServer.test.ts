import { connect } from 'node:net'
import { text } from 'node:stream/consumers'
import test from 'ava'
import { parseAddress } from '../network.ts'
import { PROBE_LIMITS } from './frontEndLimits.ts'
import { JsonServer } from './jsonServer.ts'

const CONNECTIONS = 2
const GET = 'GET /ready HTTP/1.1\r\nhost: test\r\n'

// Guards against an instance that is taken out of use because clients hold all connections of the readiness path.
test('probes with bodies that stay open are answered, and leave the connections to other probes', async t => {
  const server = new JsonServer({
    name: 'readiness',
    listen: '127.0.0.1:0',
    limits: { ...PROBE_LIMITS, connections: CONNECTIONS },
    routes: [{ method: 'GET', pattern: '/ready', handle: async () => ({ status: 200, body: {} }) }]
  })
  await server.start()
  t.teardown(async () => await server.stop())
  const send = async (input: string): Promise<string> => {
    const socket = connect(parseAddress(server.address))
    socket.write(input)
    return await text(socket)
  }
  for (let probe = 0; probe <= CONNECTIONS; probe++) t.regex(await send(`${GET}transfer-encoding: chunked\r\n\r\n2\r\nab\r\n`), /^HTTP\/1\.1 200 /)
  t.regex(await send(`${GET}connection: close\r\n\r\n`), /^HTTP\/1\.1 200 /)
})
