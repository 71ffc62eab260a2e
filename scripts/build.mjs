/** Builds a single executable application: dist/agategauge, or in the directory given as the first argument. */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { build } from 'esbuild'
import { inject } from 'postject'

const FOLDER = process.argv[2] ?? 'dist'
const OUTPUT = `${FOLDER}/agategauge`
const BUNDLE = `${FOLDER}/agategauge.cjs`
const BLOB = `${FOLDER}/agategauge.blob`
const SEA_CONFIGURATION = `${FOLDER}/sea.json`
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync(FOLDER, { recursive: true })
await build({
  entryPoints: ['src/main.ts'],
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: BUNDLE,
  define: { 'import.meta.url': '__importMetaUrl' },
  banner: { js: "const __importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;" },
  logLevel: 'warning'
})
// The code cache saves the compilation at each start.
writeFileSync(SEA_CONFIGURATION, JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }))
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIGURATION], { stdio: ['ignore', 'ignore', 'inherit'] })
copyFileSync(process.execPath, OUTPUT)
await inject(OUTPUT, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: FUSE })
chmodSync(OUTPUT, 0o755)
