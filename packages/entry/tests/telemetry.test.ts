import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { createSocket } from 'node:dgram'
import { mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FileSpanLineWriter } from '../src/file-span-line-writer.js'
import { JsonLineSpanExporter } from '../src/json-line-span-exporter.js'
import { LogSpanLineWriter } from '../src/log-span-line-writer.js'
import { OpenTelemetrySpanRecorder } from '../src/open-telemetry-span-recorder.js'
import { PinoEventLogger } from '../src/pino-event-logger.js'
import type { SpanLine } from '../src/span-line-writer.js'
import { StatsdMetricSink } from '../src/statsd-metric-sink.js'
import { RecordingEventLogger } from './api-fixture.js'
import { waitUntil } from './http-exchange.js'

test('log events contain their fields except bodies and keys, and events below the level are not written', (t) => {
  const lines: string[] = []
  const logger = new PinoEventLogger({ write: (line) => { lines.push(line) } }, 'warn', { instance: 'entry-a' })
  logger.logInfo('below.level')
  logger.logWarning('some.event', { requestId: '0a-1', payload: 'secret', idempotencyKey: 'secret', body: 'secret', result: 'secret' })
  logger.logError('a.fault', { error: new Error('broken') })
  const [warning, error] = lines.map((line) => JSON.parse(line) as Record<string, unknown>)
  t.is(lines.length, 2)
  t.deepEqual({ ...warning, time: '' }, { level: 'warn', time: '', instance: 'entry-a', requestId: '0a-1', event: 'some.event' })
  t.like(error?.['error'], { type: 'Error', message: 'broken' })
})

test('metrics are sent over UDP with prefix and tags, and an unreachable server causes no error', async (t) => {
  const server = createSocket('udp4')
  const received: string[] = []
  server.on('message', (message) => { received.push(message.toString()) })
  await new Promise<void>((resolve) => { server.bind(0, '127.0.0.1', resolve) })
  const sink = new StatsdMetricSink({ host: '127.0.0.1', port: server.address().port }, { instance: 'entry-a' }, () => {})
  sink.incrementCounter('api.requests', 2, { status: '200' })
  sink.setGauge('api.pending', 3)
  sink.recordTiming('api.duration', 4)
  await sink.close()
  await waitUntil(() => received.join('\n').includes('api.duration'))
  server.close()
  t.regex(received.join('\n'), /^hibiscusledge\.api\.requests:2\|c\|#.*status:200/m)
  t.regex(received.join('\n'), /^hibiscusledge\.api\.pending:3\|g\|#instance:entry-a/m)
  const sinkWithoutServer = new StatsdMetricSink({ host: '127.0.0.1', port: 9 }, {}, () => {})
  sinkWithoutServer.incrementCounter('api.requests')
  await t.notThrowsAsync(sinkWithoutServer.close())
})

test('a span continues the trace of its caller, and each span is written as one JSON line', async (t) => {
  const path = join(mkdtempSync(join(tmpdir(), 'entry-spans-')), 'spans.jsonl')
  const exporter = new JsonLineSpanExporter(new FileSpanLineWriter(path, () => {}), new RecordingEventLogger())
  const recorder = new OpenTelemetrySpanRecorder(exporter, new SeededRandomSource(5))
  const parent = { traceId: '0af7651916cd43dd8448eb211c80319c', spanId: 'b7ad6b7169203331', isSampled: true }
  const outer = recorder.startSpan('entry.submit', parent, { kind: 'post' })
  const inner = recorder.startSpan('home.submit', outer.context)
  inner.end()
  outer.end({ status: 200 })
  recorder.startSpan('unsampled', { ...parent, isSampled: false }).end()
  await recorder.close()
  const [first, second, ...rest] = readFileSync(path, 'utf8').trimEnd().split('\n').map((line) => JSON.parse(line) as SpanLine)
  t.like(first, { name: 'home.submit', traceId: parent.traceId, parentSpanId: outer.context.spanId })
  t.like(second, { name: 'entry.submit', parentSpanId: parent.spanId, spanId: outer.context.spanId, attributes: { kind: 'post', status: 200 } })
  t.deepEqual(rest, [], 'a trace that its caller doesn\'t sample is not recorded')
})

test('spans are written to the log when configured, and dropped when the file can\'t be written', async (t) => {
  const logger = new RecordingEventLogger()
  const logRecorder = new OpenTelemetrySpanRecorder(
    new JsonLineSpanExporter(new LogSpanLineWriter(logger), logger), new SeededRandomSource(6)
  )
  logRecorder.startSpan('entry.submit', undefined).end()
  await logRecorder.close()
  t.like(logger.events[0], { event: 'span', fields: { name: 'entry.submit', parentSpanId: null } })

  const errors: Error[] = []
  const writer = new FileSpanLineWriter('/nonexistent/spans.jsonl', (error) => { errors.push(error) })
  await waitUntil(() => errors.length === 1)
  const failingRecorder = new OpenTelemetrySpanRecorder(new JsonLineSpanExporter(writer, logger), new SeededRandomSource(7))
  failingRecorder.startSpan('entry.submit', undefined).end()
  await failingRecorder.close()
  t.deepEqual(logger.events[1], { event: 'spans.dropped', fields: { dropped: 1 } })
})
