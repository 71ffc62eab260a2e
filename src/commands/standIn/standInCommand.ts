/** `stand-in store|list|targets`: runs stand-ins for components of the platform, for local evaluation and tests. */
import type { Argv, CommandModule } from 'yargs'
import { SystemClock } from '../../adapters/clock/systemClock.ts'
import { HttpInstanceListServer } from '../../adapters/list/httpInstanceListServer.ts'
import { parseListSnapshot, parseTargets } from '../../adapters/list/listSchema.ts'
import { MemoryInstanceList } from '../../adapters/list/memoryInstanceList.ts'
import { HttpStoreServer } from '../../adapters/store/httpStoreServer.ts'
import { MemoryStore } from '../../adapters/store/memoryStore.ts'
import { StandInTarget } from '../../adapters/target/standInTarget.ts'
import { StandInTargetServer } from '../../adapters/target/standInTargetServer.ts'
import { readJsonFile } from './readJsonFile.ts'
import { TargetControlServer } from './targetControlServer.ts'
import { processTerminal, serveUntilStopped } from './terminal.ts'
import type { Terminal } from './terminal.ts'

interface ListenArguments {
  readonly listen: string
}

interface ListArguments extends ListenArguments {
  readonly instances: string
  readonly 'lag-ms': number
}

interface TargetsArguments extends ListenArguments {
  readonly file: string
}

/**
 * Creates the command for a terminal, which tests replace.
 *
 * @example
 * yargs(args).command(createStandInCommand(processTerminal))
 */
export function createStandInCommand (terminal: Terminal): CommandModule {
  return {
    command: 'stand-in',
    describe: 'Run a stand-in for a component of the platform until SIGTERM',
    builder: (parser: Argv) => parser
      .command(createStoreCommand(terminal))
      .command(createListCommand(terminal))
      .command(createTargetsCommand(terminal))
      .demandCommand(1, 'Give the component: store, list or targets'),
    handler: () => {}
  }
}

export const standInCommand: CommandModule = createStandInCommand(processTerminal)

function withListenOption<T> (parser: Argv<T>): Argv<T & ListenArguments> {
  return parser.option('listen', {
    type: 'string',
    default: '127.0.0.1:0',
    describe: 'Address to listen on, host:port; port 0 selects a free port'
  })
}

function createStoreCommand (terminal: Terminal): CommandModule<object, ListenArguments> {
  return {
    command: 'store',
    describe: 'In-memory key-value store',
    builder: withListenOption,
    handler: async ({ listen }) => {
      const store = new MemoryStore(new SystemClock())
      const server = new HttpStoreServer(store, listen, store.calls)
      await serveUntilStopped([server], () => ({ listening: server.address }), terminal)
    }
  }
}

function createListCommand (terminal: Terminal): CommandModule<object, ListArguments> {
  return {
    command: 'list',
    describe: 'Instance list',
    builder: parser => withListenOption(parser)
      .option('instances', { type: 'string', demandOption: true, describe: 'JSON file with { instances, targets }' })
      .option('lag-ms', { type: 'number', default: 0, describe: 'Delay until a change is visible, in milliseconds' }),
    handler: async ({ listen, instances, 'lag-ms': lagMs }) => {
      const snapshot = parseListSnapshot(await readJsonFile(instances), instances)
      const server = new HttpInstanceListServer(new MemoryInstanceList(new SystemClock(), snapshot, lagMs), listen)
      await serveUntilStopped([server], () => ({ listening: server.address }), terminal)
    }
  }
}

function createTargetsCommand (terminal: Terminal): CommandModule<object, TargetsArguments> {
  return {
    command: 'targets',
    describe: 'Runners and workers, each on its own address; --listen is the address of the control API for their records and states',
    builder: parser => withListenOption(parser)
      .option('file', { type: 'string', demandOption: true, describe: 'JSON file with an array of targets' }),
    handler: async ({ listen, file }) => {
      const clock = new SystemClock()
      const targets = parseTargets(await readJsonFile(file), file).map(info => new StandInTarget(info, clock))
      const server = new StandInTargetServer(targets)
      const control = new TargetControlServer(targets, server, listen)
      const describe = (): Record<string, unknown> => ({
        listening: control.address,
        targets: Object.fromEntries(server.infos.map(({ id, address }) => [id, address]))
      })
      await serveUntilStopped([server, control], describe, terminal)
    }
  }
}
