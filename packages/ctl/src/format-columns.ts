/** Replaces control characters by visible escapes, since text from other sources could contain terminal escape sequences. */
export function escapeControlCharacters (text: string): string {
  return text.replaceAll(/\p{C}/gu, (character) => `\\u{${(character.codePointAt(0) ?? 0).toString(16)}}`)
}

/** Aligns rows in columns that are separated by two spaces. Control characters are escaped. */
export function formatColumns (rows: ReadonlyArray<readonly string[]>): readonly string[] {
  const widths: number[] = []
  const escaped = rows.map((row) => row.map(escapeControlCharacters))
  for (const row of escaped) row.forEach((cell, index) => { widths[index] = Math.max(widths[index] ?? 0, cell.length) })
  return escaped.map((row) => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
}
