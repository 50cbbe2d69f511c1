/** Texts of rejections. */
export const ADMISSION_MESSAGES = {
  unknownPool: (pool: string): string => `pool ${pool} is not in the tables`,
  noTargets: (pool: string): string => `pool ${pool} has no live target in this shard`,
  deadlineExpired: 'the deadline has passed',
  duplicate: 'the request already holds capacity in this shard',
  queueFull: (limit: number): string => `the pool's queue holds its limit of ${limit} requests for this class`,
  waitTooLong: (estimatedMs: number, limitMs: number): string => `estimated wait of ${Math.round(estimatedMs)} ms is over the limit of ${Math.round(limitMs)} ms`,
  targetTooSmall: (dimension: string, demand: number, largest: number): string => `a task needs ${demand} ${dimension}, the largest target of the pool has ${largest}`,
  shapeTooSmall: 'no single target of the pool has the cores, memory and accelerators that a task needs together',
  gangTooLarge: (tasks: number, fits: number): string => `the gang has ${tasks} tasks, all targets of the pool together hold ${fits}`,
  classLimit: (sharePercent: string, urgency: string, limitPercent: number): string => `the request takes ${sharePercent} % of the pool, the limit of class ${urgency} is ${limitPercent} %`,
  teamQuota: (sharePercent: string, team: string, quotaPercent: string): string => `the request takes ${sharePercent} % of the pool, the quota of team ${team} is ${quotaPercent} %`
} as const

/** Texts of wait explanations. */
export const WAIT_MESSAGES = {
  poolMissing: 'the pool is no longer in the tables',
  noTargets: 'the pool has no live target in this shard',
  classLimit: (urgency: string, limitPercent: number): string => `class ${urgency} is at its limit of ${limitPercent} % of the pool`,
  teamQuota: (team: string, quotaPercent: string): string => `team ${team} is at its quota of ${quotaPercent} % of the pool`,
  reserved: (startInMs: number): string => `targets are reserved for it, expected to be free in ${Math.round(startInMs)} ms`,
  noFit: 'no target has enough free capacity at the moment',
  othersFirst: 'other work goes first by class, share of quota or deadline',
  next: 'it is next to start'
} as const
