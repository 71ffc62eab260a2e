/** `explain`: merges the log lines of several instances about one job or request, ordered by time. */
import type { Argv } from 'yargs'
import type { CommandFactory } from './commandBuilder.ts'
import { CommandError, EXIT_CODES, readInputFile } from './commandContext.ts'

interface ExplainArguments {
  readonly id: string
  readonly files: readonly string[]
}

interface LogLine {
  readonly time: string
  readonly instance: string
  readonly level: string
  readonly message: string
  readonly fields: string
}

/** Fields omitted from the list of fields: shown in columns, or the same in every line of an instance. */
const COLUMN_FIELDS = ['time', 'instance', 'level', 'msg', 'dataCentre']

export const createExplainCommand: CommandFactory = ({ context, run }) => ({
  command: 'explain <id> <files..>',
  describe: 'Show the log lines of several instances about one job or request, ordered by time',
  builder: (parser: Argv) => parser
    .positional('id', { type: 'string', demandOption: true, describe: 'ID of the job or request, or any text that its log lines contain' })
    .positional('files', { type: 'string', array: true, demandOption: true, describe: 'Log files with JSON lines; text before the first brace of a line is ignored' })
    .example('$0 explain 659ea78f0efd56af entry-1.log entry-2.log', 'Find the cause of a failed job'),
  handler: async ({ id, files }: ExplainArguments) => await run(async () => {
    const lines: LogLine[] = []
    for (const file of files) lines.push(...parseMatchingLines(Buffer.from(await readInputFile(file)).toString('utf8'), id))
    if (lines.length === 0) throw new CommandError(`no log line in ${files.join(', ')} mentions ${id}`, EXIT_CODES.rejected)
    lines.sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0)
    for (const { time, instance, level, message, fields } of lines) context.print(`${time} ${instance} ${level === 'info' ? '' : `${level}: `}${message} ${fields}`.trimEnd())
    return EXIT_CODES.done
  })
})

/**
 * Parses the log lines that contain the ID; skips lines that are not valid JSON.
 *
 * @example
 * parseMatchingLines('{"time":"2026-01-02T12:00:00.000Z","instance":"entry-1","level":"info","job":"a1","msg":"job accepted"}', 'a1')
 */
export function parseMatchingLines (text: string, id: string): readonly LogLine[] {
  const lines: LogLine[] = []
  for (const line of text.split('\n')) {
    const jsonStart = line.indexOf('{')
    if (jsonStart < 0 || !line.includes(id)) continue
    const parsed = parseLine(line.slice(jsonStart))
    if (parsed !== undefined) lines.push(parsed)
  }
  return lines
}

function parseLine (text: string): LogLine | undefined {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch {
    return undefined
  }
  if (typeof raw !== 'object' || raw === null) return undefined
  const record = raw as Readonly<Record<string, unknown>>
  const fields = Object.entries(record).filter(([name]) => !COLUMN_FIELDS.includes(name)).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return {
    time: String(record['time'] ?? ''),
    instance: String(record['instance'] ?? '-'),
    level: String(record['level'] ?? 'info'),
    message: String(record['msg'] ?? ''),
    fields: fields.join(' ')
  }
}
