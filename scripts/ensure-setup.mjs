// Installs the locked dependencies if they are missing or older than the lock file, then builds all packages and bundles the
// deployed program.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')

function run (command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: 'inherit' })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

function isInstallUpToDate () {
  const installedLock = join(root, 'node_modules', '.package-lock.json')
  const lock = join(root, 'package-lock.json')
  return existsSync(installedLock) && statSync(installedLock).mtimeMs >= statSync(lock).mtimeMs
}

if (!isInstallUpToDate()) {
  run('npm', ['ci', '--prefer-offline', '--no-audit', '--no-fund'])
}
run(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b'])
run(process.execPath, [join(root, 'scripts', 'bundle.mjs')])
