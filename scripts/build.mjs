/**
 * Builds a single executable application in the directory given as the first argument. Without one it builds dist/agategauge, and
 * replaces target/agategauge as well if that was built before: the deploy file and the cases in review/ run that one. With
 * --check it builds nothing, and exits with 1 unless the program in the directory was built from these sources.
 */
import { execFileSync } from 'node:child_process'
import { createHash } from 'node:crypto'
import { chmodSync, copyFileSync, existsSync, mkdirSync, mkdtempSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'
import { inject } from 'postject'

const options = process.argv.slice(2)
const CHECKS_ONLY = options.includes('--check')
const DEPLOYED_FOLDER = 'target'
const givenFolder = options.find(option => !option.startsWith('--'))
const folder = givenFolder ?? 'dist'
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
/** Stands in the bundle until the identifier is known, which is computed from the rest of the bundle. */
const BUILD_ID_PLACEHOLDER = '@AGATEGAUGE_BUILD_ID@'
const BUILD_ID_LENGTH = 12

/** Bundles the sources; the same sources and packages give the same identifier on each machine. */
async function bundle () {
  const { outputFiles: [output] } = await build({
    entryPoints: ['src/main.ts'],
    bundle: true,
    write: false,
    minifySyntax: true,
    minifyWhitespace: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    define: { 'import.meta.url': '__importMetaUrl', AGATEGAUGE_BUILD_ID: JSON.stringify(BUILD_ID_PLACEHOLDER) },
    banner: { js: "const __importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;" },
    logLevel: 'warning'
  })
  const buildId = createHash('sha256').update(output.text).digest('hex').slice(0, BUILD_ID_LENGTH)
  return { buildId, text: output.text.replaceAll(BUILD_ID_PLACEHOLDER, buildId) }
}

const programIn = folder => join(folder, 'agategauge')

function readVersion (program) {
  try {
    return execFileSync(program, ['--version'], { encoding: 'utf8' }).trim()
  } catch (error) {
    return `none (${error.code ?? error.message})`
  }
}

/** Calls `use` with a directory in the folder, which is removed afterwards. */
async function withTemporaryFolder (folder, use) {
  mkdirSync(folder, { recursive: true })
  const temporary = mkdtempSync(join(folder, 'build-'))
  try {
    await use(temporary)
  } finally {
    rmSync(temporary, { recursive: true, force: true })
  }
}

/** Replaces the program at once: processes that run the earlier one keep it, and a build that fails leaves it as it was. */
async function buildProgram (folder, text) {
  await withTemporaryFolder(folder, async temporary => {
    const [main, output, configuration] = ['agategauge.cjs', 'agategauge.blob', 'sea.json'].map(name => join(temporary, name))
    const program = programIn(temporary)
    writeFileSync(main, text)
    // The code cache saves the compilation at each start.
    writeFileSync(configuration, JSON.stringify({ main, output, disableExperimentalSEAWarning: true, useCodeCache: true }))
    execFileSync(process.execPath, ['--experimental-sea-config', configuration], { stdio: ['ignore', 'ignore', 'inherit'] })
    copyFileSync(process.execPath, program)
    await inject(program, 'NODE_SEA_BLOB', readFileSync(output), { sentinelFuse: FUSE })
    chmodSync(program, 0o755)
    renameSync(program, programIn(folder))
  })
}

async function copyProgram (from, to) {
  await withTemporaryFolder(to, async temporary => {
    copyFileSync(programIn(from), programIn(temporary))
    renameSync(programIn(temporary), programIn(to))
  })
}

function checkProgram (buildId) {
  const version = readVersion(programIn(folder))
  const isCurrent = version.includes(buildId)
  console.log(`${programIn(folder)} is ${version}; these sources are build ${buildId}${isCurrent ? '' : `. Run: node scripts/build.mjs ${folder}`}`)
  process.exitCode = isCurrent ? 0 : 1
}

const { buildId, text } = await bundle()
if (CHECKS_ONLY) checkProgram(buildId)
else {
  await buildProgram(folder, text)
  if (givenFolder === undefined && existsSync(programIn(DEPLOYED_FOLDER))) await copyProgram(folder, DEPLOYED_FOLDER)
}
