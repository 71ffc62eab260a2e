/** `key`: creates, withdraws and lists keys. A key is shown once; the cluster keeps only its hash. */
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
/** Leaves room for a hyphen and the random part within 63 characters. */
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
      lines: ['', `The key, shown only this once: ${key}`, 'Callers send it as: Authorization: Bearer KEY'],
      fields: { keyId, key }
    },
    onUnknown: `Run \`key list\` when an instance can be reached. If key ${keyId} is there, withdraw it, since its text was not shown; then create another.`
  }
}

const createKeyCreateCommand: CommandFactory = ({ context, run }) => ({
  command: 'create <team>',
  describe: 'Create a key and show it, only this once',
  builder: (parser: Argv) => withChange(parser)
    .positional('team', { type: 'string', demandOption: true, describe: 'Team whose work the key admits' })
    .option('id', { type: 'string', requiresArg: true, describe: 'Identity of the key in lists (random if left out)' })
    .example('$0 key create weavers', 'To replace a key: create, hand over, withdraw the old one'),
  handler: async (args: KeyArguments) => await run(async () => {
    const plan = planKey(args, context)
    return await submitChange(args, context, () => plan)
  })
})

const createKeyWithdrawCommand: CommandFactory = ({ context, run }) => ({
  command: 'withdraw <key-id>',
  describe: 'Withdraw a key by its identity',
  builder: (parser: Argv) => withChange(parser)
    .positional('key-id', { type: 'string', demandOption: true, describe: 'Identity as shown by `key list`' })
    .example('$0 key withdraw weavers-0a1b2c3d', 'The answer says when the key has stopped working in each data centre'),
  handler: async (args: ChangeArguments & { readonly keyId: string }) => await run(async () => await submitChange(args, context, ({ keys }) => {
    const isWithdrawn = keys.some(key => key.keyId === args.keyId && key.withdrawn)
    return isWithdrawn
      ? { operations: [], remarks: [`Key ${args.keyId} was withdrawn before.`] }
      : { operations: [{ type: 'withdrawKey', keyId: args.keyId }] }
  }))
})

const createKeyListCommand: CommandFactory = ({ context, run }) => ({
  command: 'list',
  describe: 'List keys by identity and team; never their text',
  builder: (parser: Argv) => withConnection(parser)
    .option('team', { type: 'string', requiresArg: true, describe: 'Only keys of this team' })
    .example('$0 key list --team weavers', 'Find the identity of a key to withdraw'),
  handler: async (args: ConnectionArguments & { readonly team?: string }) => await run(async () => {
    const snapshot = await withOperatorClient(args, context, async client => await client.readConfiguration())
    const keys = snapshot.keys
      .filter(key => args.team === undefined || key.team === args.team)
      .map(({ keyId, team, withdrawn }) => ({ keyId, team, state: withdrawn ? 'withdrawn' : 'valid' }))
    if (args.json) context.print(JSON.stringify(keys, null, 2))
    else if (keys.length === 0) context.print('There are no such keys.')
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
    .demandCommand(1, 'Name one of: create, withdraw, list.'),
  handler: () => {}
})
