/** Sizes as the platform writes them. */
import { z } from 'zod'
import { resources } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'

/** `cpu` in thousandths of a core, `mem_mb` in megabytes; what is 0 may be left out. */
export const resourcesSchema = z.object({ cpu: z.number().default(0), mem_mb: z.number().default(0), gpu: z.number().default(0) })

/** Decodes a size of a task, a target or a team's cap. */
export function decodeResources ({ cpu, mem_mb: memory, gpu }: z.infer<typeof resourcesSchema>): Resources {
  return resources({ processors: cpu, memory, accelerators: gpu })
}
