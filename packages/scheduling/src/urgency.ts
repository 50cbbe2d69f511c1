/** Urgency classes, the most urgent first. */
export const URGENCIES = ['urgent', 'high', 'normal', 'low'] as const

export type Urgency = typeof URGENCIES[number]
