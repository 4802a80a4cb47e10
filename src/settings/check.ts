/**
 * Parses and validates TOML settings. All faults are reported at once, each with its location, the
 * expected value and the value found.
 */
import { parse, TomlError } from 'smol-toml'
import type * as z from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import { lineOf } from './settingLines.ts'
import { nearestName } from './nearestName.ts'

/** A validation error in settings. */
export interface Fault {
  /** Path of the file, or `settings/` and the name of the team. */
  readonly source: string
  /** Line number, from 1; undefined if the fault can't be attributed to a line. */
  readonly line: number | undefined
  /** Dotted path of the setting. */
  readonly path: string
  readonly expected: string
  readonly found: string
}

/**
 * Formats a fault as one line of text.
 *
 * @example
 * describeFault(fault) // 'fleet.toml:3: models.small.price: expected a number, found "cheap"'
 */
export function describeFault (fault: Fault): string {
  const place = fault.line === undefined ? fault.source : `${fault.source}:${fault.line}`
  const path = fault.path === '' ? '' : `${fault.path}: `
  return `${place}: ${path}expected ${fault.expected}, found ${fault.found}`
}

/**
 * Parses a TOML text and validates it against a schema.
 *
 * @param source path of the file or of the team's settings, used in faults
 * @returns the validated value, or all faults
 * @example
 * const checked = checkText(text, 'fleet.toml', subtreeSchema)
 */
export function checkText<Schema extends z.ZodType> (text: string, source: string, schema: Schema): Result<z.infer<Schema>, Fault[]> {
  const document = parseText(text, source)
  if (document.err) return document
  return checkDocument(document.val, source, schema, path => lineOf(text, path))
}

/**
 * Validates a parsed document against a schema.
 *
 * @param lineAt returns the line of a path, if the document was parsed from a text
 * @example
 * const checked = checkDocument(row.value, 'settings/fleet', subtreeSchema)
 */
export function checkDocument<Schema extends z.ZodType> (
  document: unknown,
  source: string,
  schema: Schema,
  lineAt: (path: readonly string[]) => number | undefined = () => undefined
): Result<z.infer<Schema>, Fault[]> {
  const checked = schema.safeParse(document)
  if (checked.success) return Ok(checked.data)
  const faults = checked.error.issues.flatMap(issue => faultsOfIssue(issue, document, source, lineAt))
  return Err(faults)
}

function parseText (text: string, source: string): Result<unknown, Fault[]> {
  try {
    return Ok(parse(text))
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const reason = error.message.split('\n')[0] ?? 'a syntax error'
    return Err([{ source, line: error.line, path: '', expected: 'TOML', found: reason }])
  }
}

function faultsOfIssue (issue: z.core.$ZodIssue, document: unknown, source: string, lineAt: (path: readonly string[]) => number | undefined): Fault[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => unknownKeyFault(key, path, issue, source, lineAt))
  }
  return [{
    source,
    line: lineAt(path),
    path: path.join('.'),
    expected: expectationOf(issue),
    found: describeValue(valueAt(document, path))
  }]
}

function unknownKeyFault (key: string, parent: string[], issue: z.core.$ZodIssue, source: string, lineAt: (path: readonly string[]) => number | undefined): Fault {
  const path = [...parent, key]
  const suggestion = nearestName(key)
  return {
    source,
    line: lineAt(path),
    path: path.join('.'),
    expected: suggestion === undefined ? 'no such key' : `no such key (did you mean "${suggestion}"?)`,
    found: `"${key}"`
  }
}

function expectationOf (issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_type') return `a value of type ${issue.expected}`
  if (issue.code === 'invalid_value') return `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`
  if (issue.code === 'too_small') return `at least ${issue.minimum}${issue.origin === 'string' ? ' characters' : ''}`
  if (issue.code === 'too_big') return `at most ${issue.maximum}`
  return issue.message
}

function valueAt (document: unknown, path: readonly string[]): unknown {
  let value = document
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<string, unknown>)[part]
  }
  return value
}

function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value) ?? String(value)
  return text.length > 60 ? `${text.slice(0, 57)}...` : text
}
