import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: [...resolveIgnoresFromGitignore(), 'src/generated/**'] }),
  {
    rules: {
      camelcase: ['error', { properties: 'always' }],
      'max-lines-per-function': ['warn', { max: 60, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    // Names on the platform's wire are spelled as the platform spells them; they stay in this folder.
    files: ['src/platform/**'],
    rules: { camelcase: ['error', { properties: 'never' }] }
  }
]
