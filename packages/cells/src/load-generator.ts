import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { Caller, CallerRecord } from './caller.js'

/** Requests of one kind, sent at a rate. */
export interface RequestStream {
  readonly kind: string
  readonly customer: string
  readonly ratePerSecond: number
  /** Whether each request carries an idempotency key. */
  readonly isKeyed: boolean
  readonly payload?: unknown
}

let nextKey = 0

/** Sends each stream as a Poisson process for a time, independent of the responses, and waits for all responses. */
export async function generateOpenLoopLoad (
  caller: Caller, streams: readonly RequestStream[], seconds: number, random: RandomSource
): Promise<CallerRecord[]> {
  const sent: Array<Promise<CallerRecord>> = []
  const startMs = performance.now()
  await Promise.all(streams.map(async (stream) => {
    for (let atMs = drawInterarrivalMs(stream, random); atMs < seconds * 1000; atMs += drawInterarrivalMs(stream, random)) {
      const delayMs = startMs + atMs - performance.now()
      if (delayMs > 1) await new Promise<void>((resolve) => { setTimeout(resolve, delayMs) })
      sent.push(sendRequest(caller, stream))
    }
  }))
  return await Promise.all(sent)
}

/** Keeps a fixed number of requests in flight for a time and returns all of them, including those answered after it. */
export async function generateClosedLoopLoad (
  caller: Caller, stream: RequestStream, concurrency: number, seconds: number
): Promise<CallerRecord[]> {
  const untilMs = performance.now() + seconds * 1000
  const records: CallerRecord[] = []
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (performance.now() < untilMs) records.push(await sendRequest(caller, stream))
  }))
  return records
}

function sendRequest (caller: Caller, { kind, customer, isKeyed, payload }: RequestStream): Promise<CallerRecord> {
  return caller.send(kind, customer, payload ?? { text: 'load' }, isKeyed ? `load-${process.pid}-${nextKey++}` : undefined)
}

function drawInterarrivalMs ({ ratePerSecond }: RequestStream, random: RandomSource): number {
  return -Math.log(1 - random.drawFraction()) * 1000 / ratePerSecond
}
