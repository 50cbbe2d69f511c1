// A crowd of clients, as a process of its own. Each opens a connection, sends the header of a POST and a body of legal size that stops
// one byte short of its end, and stays open. All connections are closed after a time.
// Arguments: address, path prefix, connections, bytes of the body, `chunks` or `pieces`, milliseconds until they are closed.

import { connect } from 'node:net'

const [address, prefix, connections, bodyBytes, form, openMs] = process.argv.slice(2)
const [host, port] = address.split(':')
const sentBytes = Number(bodyBytes) - 1
const isChunked = form === 'chunks'
// The same bytes for each client: blanks before the JSON text, each in a chunk of its own or all as they are.
const body = Buffer.from(isChunked ? '1\r\n \r\n'.repeat(sentBytes) : ' '.repeat(sentBytes))
const sockets = []
let connected = 0
let answered = 0
for (let index = 0; index < Number(connections); index++) {
  const id = (0xc0000 + index).toString(16).padStart(16, '0')
  const length = isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${bodyBytes}`
  const socket = connect(Number(port), host, () => {
    connected++
    socket.write(`POST ${prefix}${id} HTTP/1.1\r\nHost: ${host}\r\nContent-Type: application/json\r\n${length}\r\n\r\n`)
    socket.write(body)
  })
  socket.once('data', () => { answered++ })
  socket.on('error', () => {})
  sockets.push(socket)
}
setTimeout(() => {
  console.log(`${connected} connections, ${answered} answered or refused`)
  for (const socket of sockets) socket.destroy()
  process.exit(0)
}, Number(openMs))
