/** Reads the list of deployments, days and seeds that are played to find regressions. */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { InputError } from '../../src/model/errors.ts'

/** Worth of a day in a full score of an earlier revision. */
const floorSchema = z.strictObject({
  worth: z.number().max(1),
  measuredOn: z.iso.date(),
  /** Entry of the journal that the worth was taken from. */
  journal: z.string().min(1)
})

const seedSchema = z.strictObject({
  /** Name of a standard day, `mix`, or a file with a day. */
  day: z.string().min(1),
  seed: z.number().int().optional(),
  /** Whether times and figures of the day are varied by the seed, as in a hunt. */
  vary: z.boolean().optional(),
  /** What went wrong when the seed was first played. */
  cause: z.string().min(1)
})

const deploymentSchema = z.strictObject({
  name: z.string().min(1),
  /** Path of the site file, relative to the folder of the deployments. */
  site: z.string().min(1),
  /** Replaced by larger deployments: played only when it is named. */
  retired: z.boolean().default(false),
  huntDays: z.number().int().min(0),
  floors: z.record(z.string(), floorSchema),
  seeds: z.array(seedSchema).default([])
})

const listSchema = z.strictObject({ deployments: z.array(deploymentSchema).min(1) })

export type Deployment = z.infer<typeof deploymentSchema>
export type RegressionSeed = z.infer<typeof seedSchema>

/**
 * Reads and checks a list; throws an `InputError` that names the file and each invalid field.
 *
 * @example
 * const deployments = readRegressionList('bench/regress/deployments.json')
 */
export function readRegressionList (path: string): readonly Deployment[] {
  let raw: unknown
  try {
    raw = JSON.parse(readFileSync(path, 'utf8'))
  } catch (error) {
    throw new InputError(`${path} can't be read as JSON:`, { cause: error })
  }
  const parsed = listSchema.safeParse(raw)
  if (!parsed.success) throw new InputError(`${path} is invalid: ${z.prettifyError(parsed.error)}`)
  return parsed.data.deployments
}

/**
 * Returns the deployments with the given names, or without names all that are not retired. Throws an `InputError` for an
 * unknown name.
 */
export function selectDeployments (deployments: readonly Deployment[], names: readonly string[]): readonly Deployment[] {
  const unknown = names.filter(name => !deployments.some(deployment => deployment.name === name))
  if (unknown.length > 0) throw new InputError(`unknown deployment: ${unknown.join(', ')}; known are ${deployments.map(({ name }) => name).join(', ')}`)
  return deployments.filter(({ name, retired }) => names.length === 0 ? !retired : names.includes(name))
}
