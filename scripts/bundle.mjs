// Bundles the deployed program into one file, so that a process loads quickly after a restart. Reads only the TypeScript
// sources, so it doesn't need a build.
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const root = fileURLToPath(new URL('..', import.meta.url))

const ENTRY_POINTS = {
  // The main file of the package is UMD, whose inner `require` calls can't be bundled.
  'ts-results': "import * as results from './node_modules/ts-results/esm/index.js'; export default results",
  // The main file of the package loads fetch, caches and mocks, whose loading takes a third of the time of a restart.
  undici: `
    import api from './node_modules/undici/lib/api/index.js'
    import Dispatcher from './node_modules/undici/lib/dispatcher/dispatcher.js'
    import Pool from './node_modules/undici/lib/dispatcher/pool.js'
    Object.assign(Dispatcher.prototype, api)
    export { Pool }`
}

const workspaceSources = {
  name: 'workspace-sources',
  setup (builder) {
    builder.onResolve({ filter: /^@hibiscusledge\// }, ({ path }) => {
      const [, name, file] = /^@hibiscusledge\/([^/]+)\/(.+)\.js$/.exec(path)
      return { path: `${root}packages/${name}/src/${file}.ts` }
    })
    // Replaces the main files of these packages by ENTRY_POINTS.
    builder.onResolve({ filter: /^(ts-results|undici)$/ }, ({ path }) => ({ path, namespace: 'entry-point' }))
    builder.onLoad({ filter: /.*/, namespace: 'entry-point' }, ({ path }) => ({ contents: ENTRY_POINTS[path], resolveDir: root }))
    // Omits the error messages in languages other than English, which are never selected.
    builder.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: "export { default as en } from './en.js'" }))
  }
}

await build({
  absWorkingDir: root,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/hibiscusledge.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  plugins: [workspaceSources],
  // Some libraries are CommonJS modules, which call `require`.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" }
})
