import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { Caller, CallerRecord } from './caller.js'

export interface Stream {
  readonly kind: string
  readonly customer: string
  readonly ratePerSecond: number
  readonly isKeyed: boolean
  readonly payload?: unknown
}

let keysGiven = 0

/** Sends each stream with exponential gaps for a time, whatever becomes of the answers, and waits for all of them. */
export async function generateLoad (
  caller: Caller, streams: readonly Stream[], seconds: number, random: RandomSource
): Promise<CallerRecord[]> {
  const sent: Array<Promise<CallerRecord>> = []
  const startMs = performance.now()
  await Promise.all(streams.map(async (stream) => {
    for (let atMs = drawGapMs(stream, random); atMs < seconds * 1000; atMs += drawGapMs(stream, random)) {
      const delayMs = startMs + atMs - performance.now()
      if (delayMs > 1) await new Promise<void>((resolve) => { setTimeout(resolve, delayMs) })
      sent.push(sendOne(caller, stream))
    }
  }))
  return await Promise.all(sent)
}

/** Keeps a fixed number of requests under way and returns those that were answered within the time. */
export async function generateClosedLoad (caller: Caller, stream: Stream, concurrency: number, seconds: number): Promise<CallerRecord[]> {
  const untilMs = performance.now() + seconds * 1000
  const records: CallerRecord[] = []
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (performance.now() < untilMs) records.push(await sendOne(caller, stream))
  }))
  return records
}

function sendOne (caller: Caller, { kind, customer, isKeyed, payload }: Stream): Promise<CallerRecord> {
  return caller.send(kind, customer, payload ?? { text: 'load' }, isKeyed ? `load-${process.pid}-${keysGiven++}` : undefined)
}

function drawGapMs ({ ratePerSecond }: Stream, random: RandomSource): number {
  return -Math.log(1 - random.drawFraction()) * 1000 / ratePerSecond
}
