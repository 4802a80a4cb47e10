/** Distribution: settings from the table service to every daemon, never reverting. */
export * from './contract.ts'
export { TableSettingsRepository, type TableSettingsRepositoryOptions } from './tableSettingsRepository.ts'
export { SettingsFollower, type SettingsFollowerOptions, type SettingsPeer, settingsLeaseMilliseconds } from './settingsFollower.ts'
export { type PropagationReport } from './confirmationTracker.ts'
