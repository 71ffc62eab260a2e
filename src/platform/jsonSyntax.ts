/**
 * Finds the first syntax error of a JSON text. The messages of `JSON.parse` quote parts of the text, which may be keys, and
 * do not always give a position.
 */

export interface SyntaxProblem {
  readonly offset: number
  readonly expected: string
}

type Expectation = 'a value' | 'a value or ]' | 'a field name or }' | 'a field name' | ':' | ', or }' | ', or ]' | 'the end of the text'

const WHITESPACE = /[ \t\n\r]*/y
const SCALAR = /(?:-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?|true|false|null)(?![\w.+-])/y
const PLAIN_CHARACTERS = /[^"\\\u0000-\u001f]+/y // eslint-disable-line no-control-regex
const ESCAPE = /\\(?:["\\/bfnrt]|u[\da-fA-F]{4})/y

/** Returns the length of the match at the offset; 0 if there is none. */
function matchLength (pattern: RegExp, text: string, offset: number): number {
  pattern.lastIndex = offset
  return pattern.exec(text)?.[0].length ?? 0
}

class SyntaxScanner {
  readonly #text: string
  #offset = 0
  /** The open objects and arrays; a recursive scan would exceed the stack on deep nesting. */
  readonly #open: Array<'{' | '['> = []
  #expected: Expectation = 'a value'

  constructor (text: string) {
    this.#text = text
  }

  scan (): SyntaxProblem | undefined {
    for (;;) {
      this.#offset += matchLength(WHITESPACE, this.#text, this.#offset)
      if (this.#expected === 'the end of the text' && this.#offset === this.#text.length) return undefined
      const character = this.#text[this.#offset]
      const problem = character === '"' ? this.#readString() : this.#readToken(character)
      if (problem !== undefined) return problem
    }
  }

  get #mayBeValue (): boolean {
    return this.#expected === 'a value' || this.#expected === 'a value or ]'
  }

  #fail (expected: string): SyntaxProblem {
    return { offset: this.#offset, expected }
  }

  #readToken (character: string | undefined): SyntaxProblem | undefined {
    const expected = this.#expected
    if (this.#mayBeValue && (character === '{' || character === '[')) {
      this.#open.push(character)
      this.#expected = character === '{' ? 'a field name or }' : 'a value or ]'
    } else if ((character === '}' && (expected === 'a field name or }' || expected === ', or }')) || (character === ']' && (expected === 'a value or ]' || expected === ', or ]'))) {
      this.#open.pop()
      this.#endValue()
    } else if (character === ',' && (expected === ', or }' || expected === ', or ]')) {
      this.#expected = expected === ', or }' ? 'a field name' : 'a value'
    } else if (character === ':' && expected === ':') {
      this.#expected = 'a value'
    } else {
      const length = this.#mayBeValue ? matchLength(SCALAR, this.#text, this.#offset) : 0
      if (length === 0) return this.#fail(expected)
      this.#offset += length
      this.#endValue()
      return undefined
    }
    this.#offset += 1
    return undefined
  }

  #readString (): SyntaxProblem | undefined {
    const isName = this.#expected === 'a field name' || this.#expected === 'a field name or }'
    if (!isName && !this.#mayBeValue) return this.#fail(this.#expected)
    this.#offset += 1
    while (this.#text[this.#offset] !== '"') {
      const length = matchLength(PLAIN_CHARACTERS, this.#text, this.#offset) || matchLength(ESCAPE, this.#text, this.#offset)
      if (length === 0) return this.#fail('the rest of a string')
      this.#offset += length
    }
    this.#offset += 1
    if (isName) this.#expected = ':'
    else this.#endValue()
    return undefined
  }

  #endValue (): void {
    const container = this.#open.at(-1)
    this.#expected = container === undefined ? 'the end of the text' : container === '{' ? ', or }' : ', or ]'
  }
}

/**
 * Returns undefined if the text is valid JSON.
 *
 * @example
 * findSyntaxProblem('{"version":}') // { offset: 11, expected: 'a value' }
 */
export function findSyntaxProblem (text: string): SyntaxProblem | undefined {
  return new SyntaxScanner(text).scan()
}

/** Formats an offset as line and column, counted from 1. */
export function formatPosition (text: string, offset: number): string {
  const lines = text.slice(0, offset).split('\n')
  return `line ${lines.length}, column ${(lines.at(-1)?.length ?? 0) + 1}`
}
