/** Reads the cluster settings file, whose sections are branches of the tree. A file with any error is rejected as a whole. */
import type { SettingsPath, SettingValue } from '../model/change.ts'
import { refuseFile, scanIni } from './iniScan.ts'
import type { IniEntry, FileProblem } from './iniScan.ts'
import { parseBranch, PATH_RULE } from './paths.ts'
import type { Branch } from './paths.ts'
import { OLD_SETTINGS } from './renamed.ts'
import type { OldSettings } from './renamed.ts'
import { checkTree } from './treeCheck.ts'
import type { SettingsTree } from './tree.ts'
import { findSetting, readValue } from './values.ts'

class TreeBuilder {
  readonly problems: FileProblem[] = []
  readonly tree: Record<SettingsPath, Record<string, SettingValue>> = {}
  readonly #lines = new Map<string, number>()
  readonly #oldSettings: OldSettings

  constructor (oldSettings: OldSettings) {
    this.#oldSettings = oldSettings
  }

  addSection (section: string, line: number): void {
    const branch = parseBranch(section)
    if (branch === undefined) return this.#report(line, `there is no branch [${section}]`, PATH_RULE)
    this.tree[branch.path] ??= {}
    this.#lines.set(branch.path, line)
  }

  addEntry (entry: IniEntry): void {
    const branch = parseBranch(entry.section === '' ? '/' : entry.section)
    if (branch !== undefined) this.#addValue(branch, entry)
  }

  #addValue (branch: Branch, { name, text, line }: IniEntry): void {
    const found = findSetting(name, branch, this.#oldSettings)
    if (!('value' in found)) return this.#report(line, found.problem, found.hint)
    const value = readValue(found.value, text)
    if (!('value' in value)) return this.#report(line, value.problem, value.hint)
    const position = `${branch.path} ${found.value}`
    const first = this.#lines.get(position)
    if (first !== undefined) return this.#report(line, `${name} is a duplicate of line ${first}`, `set ${found.value} once in ${branch.path}`)
    this.#lines.set(position, line);
    (this.tree[branch.path] ??= {})[found.value] = value.value
  }

  validateTree (): void {
    for (const { source, path, name, problem, hint } of checkTree(this.tree)) {
      const line = this.#lines.get(`${source} ${name}`) ?? this.#lines.get(path) ?? 1
      this.#report(line, problem, hint)
    }
  }

  #report (line: number, problem: string, hint: string): void {
    this.problems.push({ line, problem, hint })
  }
}

/**
 * Reads a settings file. Throws `InputError` with one line per problem.
 *
 * @example
 * readSettingsFile('cell.ini', await readFile('cell.ini'))['/teams/weavers']
 * // { share: 2, limitMemory: 65536 }
 */
export function readSettingsFile (file: string, bytes: Uint8Array, oldSettings: OldSettings = OLD_SETTINGS): SettingsTree {
  const scan = scanIni(bytes)
  if (scan.problems.length > 0) refuseFile(file, scan.problems)
  const builder = new TreeBuilder(oldSettings)
  for (const [section, line] of scan.sections) builder.addSection(section, line)
  for (const entry of scan.entries) builder.addEntry(entry)
  if (builder.problems.length === 0) builder.validateTree()
  if (builder.problems.length > 0) refuseFile(file, builder.problems)
  return builder.tree
}
