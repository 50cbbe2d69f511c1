const LIMIT_MS = 20_000

/** Waits until a condition holds; fails after a limit that only ends a hanging test. */
export async function waitFor (what: string, isMet: () => boolean | Promise<boolean>): Promise<void> {
  const endMs = performance.now() + LIMIT_MS
  while (!await isMet()) {
    if (performance.now() > endMs) throw new Error(`not reached within ${LIMIT_MS} ms: ${what}`)
    await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
  }
}
