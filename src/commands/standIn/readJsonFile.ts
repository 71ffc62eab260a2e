/** Reads the JSON files with the initial content of stand-ins. */
import { readFile } from 'node:fs/promises'
import { InputError } from '../../model/errors.ts'

export async function readJsonFile (path: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(path, 'utf8'))
  } catch (error) {
    throw new InputError(`${path} can not be read as JSON:`, { cause: error })
  }
}
