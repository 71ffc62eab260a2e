/** Runs a cluster of 7 instances in 3 data centres on loopback, with stand-ins for the platform, until SIGINT or SIGTERM. */
import { Cluster, OPERATOR_TOKEN } from '../test/processes/cluster.ts'
import { SEVEN_INSTANCES } from '../test/processes/topology.ts'

const HOST = '127.0.0.1'
/** Below the ephemeral port range, so that outgoing connections do not occupy the ports. */
const FIRST_PORT = 7_500
const PORTS_PER_INSTANCE = 10

// The handlers stay registered: npm forwards a signal that the terminal has already sent to the whole process group.
const stopRequested = new Promise<void>(resolve => {
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => resolve())
})
const cluster = await Cluster.start({
  layout: SEVEN_INSTANCES,
  host: HOST,
  program: ['dist/agategauge'],
  ownGroups: true,
  addressOf: (_place, index) => {
    const port = FIRST_PORT + index * PORTS_PER_INSTANCE
    return { caller: `${HOST}:${port}`, operator: `${HOST}:${port + 1}`, peer: `${HOST}:${port + 2}` }
  }
})
for (const { name, addresses } of cluster.instances) console.log(`${name.padEnd(22)} callers ${addresses.caller}  operators ${addresses.operator}`)
console.log(`\nexport AGATEGAUGE_OPERATOR=${cluster.instances[0]?.addresses.operator} AGATEGAUGE_TOKEN=${OPERATOR_TOKEN}`)
console.log(`Records of the targets: http://${cluster.controlAddress}/v1/targets`)
console.log('The cluster runs until Ctrl-C.')
await stopRequested
console.log('Stopping the instances after their running tasks have finished.')
await cluster.stopGracefully()
