/** Distributes settings from the table service to every daemon; a daemon's revision never decreases. */
export * from './contract.ts'
export { TableSettingsRepository, type TableSettingsRepositoryOptions } from './tableSettingsRepository.ts'
export { SettingsFollower, type SettingsFollowerOptions, type SettingsPeer, settingsLeaseMilliseconds, settingsReadTimeoutMilliseconds } from './settingsFollower.ts'
export { type PropagationReport } from './confirmationTracker.ts'
