/** `key`: creates, withdraws and lists API keys. A key is shown once; the cluster stores only its hash. */
import { createHash } from 'node:crypto'
import type { Argv } from 'yargs'
import { KEY_PREFIX } from '../observability/logger.ts'
import { withChange, withConnection } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory, ConnectionArguments, Subcommand } from './commandBuilder.ts'
import { EXIT_CODES } from './commandContext.ts'
import type { CommandContext } from './commandContext.ts'
import { formatTable } from './formatTable.ts'
import { withOperatorClient } from './operatorClient.ts'
import { submitChange } from './submitChange.ts'
import type { ChangePlan } from './submitChange.ts'

const KEY_BYTES = 32
const KEY_ID_SUFFIX_BYTES = 4
/** Leaves room for a hyphen and the random suffix within the 63 characters of a key ID. */
const MAX_TEAM_LENGTH = 54

interface KeyArguments extends ChangeArguments {
  readonly team: string
  readonly id?: string
}

function planKey (args: KeyArguments, context: CommandContext): ChangePlan {
  const key = `${KEY_PREFIX}${context.createRandomBytes(KEY_BYTES).toString('base64url')}`
  const hash = createHash('sha256').update(key).digest('hex')
  const keyId = args.id ?? `${args.team.slice(0, MAX_TEAM_LENGTH)}-${context.createRandomBytes(KEY_ID_SUFFIX_BYTES).toString('hex')}`
  return {
    operations: [{ type: 'createKey', keyId, team: args.team, hash }],
    onAccepted: {
      lines: ['', `Key (shown only once): ${key}`, 'Callers send it as: Authorization: Bearer KEY'],
      fields: { keyId, key }
    },
    onUnknown: `Run \`key list\` when an instance is reachable. If key ${keyId} is listed, withdraw it, because its secret was not shown; then create another key.`
  }
}

const createKeyCreateCommand: CommandFactory = ({ context, run }) => ({
  command: 'create <team>',
  describe: 'Create a key and show it once',
  builder: (parser: Argv) => withChange(parser)
    .positional('team', { type: 'string', demandOption: true, describe: 'Team that the key authenticates' })
    .option('id', { type: 'string', requiresArg: true, describe: 'ID of the key (default: the name of the team with a random suffix)' })
    .example('$0 key create weavers', 'To rotate a key: create a new one, distribute it, withdraw the old one'),
  handler: async (args: KeyArguments) => await run(async () => {
    const plan = planKey(args, context)
    return await submitChange(args, context, () => plan)
  })
})

const createKeyWithdrawCommand: CommandFactory = ({ context, run }) => ({
  command: 'withdraw <key-id>',
  describe: 'Withdraw a key by its ID',
  builder: (parser: Argv) => withChange(parser)
    .positional('key-id', { type: 'string', demandOption: true, describe: 'ID as shown by `key list`' })
    .example('$0 key withdraw weavers-0a1b2c3d', 'The output shows which data centres have stopped accepting the key'),
  handler: async (args: ChangeArguments & { readonly keyId: string }) => await run(async () => await submitChange(args, context, ({ keys }) => {
    const isWithdrawn = keys.some(key => key.keyId === args.keyId && key.withdrawn)
    return isWithdrawn
      ? { operations: [], notes: [`Key ${args.keyId} is already withdrawn.`] }
      : { operations: [{ type: 'withdrawKey', keyId: args.keyId }] }
  }))
})

const createKeyListCommand: CommandFactory = ({ context, run }) => ({
  command: 'list',
  describe: 'List key IDs with team and state; secrets are not shown',
  builder: (parser: Argv) => withConnection(parser)
    .option('team', { type: 'string', requiresArg: true, describe: 'Show only keys of this team' })
    .example('$0 key list --team weavers', 'Find the ID of a key to withdraw'),
  handler: async (args: ConnectionArguments & { readonly team?: string }) => await run(async () => {
    const snapshot = await withOperatorClient(args, context, async client => await client.readConfiguration())
    const keys = snapshot.keys
      .filter(key => args.team === undefined || key.team === args.team)
      .map(({ keyId, team, withdrawn }) => ({ keyId, team, state: withdrawn ? 'withdrawn' : 'valid' }))
    if (args.json) context.print(JSON.stringify(keys, null, 2))
    else if (keys.length === 0) context.print('No keys found.')
    else context.print(formatTable([['KEY', 'TEAM', 'STATE'], ...keys.map(({ keyId, team, state }) => [keyId, team, state])]))
    return EXIT_CODES.done
  })
})

export const createKeyCommand: CommandFactory = (dependencies): Subcommand => ({
  command: 'key',
  describe: 'Create, withdraw and list keys',
  builder: (parser: Argv) => parser
    .command(createKeyCreateCommand(dependencies))
    .command(createKeyWithdrawCommand(dependencies))
    .command(createKeyListCommand(dependencies))
    .demandCommand(1, 'Give a subcommand: create, withdraw or list.'),
  handler: () => {}
})
