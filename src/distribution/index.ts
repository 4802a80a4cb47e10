/** Distribution: settings from the table service to every daemon, never reverting. */
export * from './contract.ts'
export { TableSettingsRepository, type TableSettingsOptions } from './tableSettings.ts'
export { SettingsFollower, type SettingsFollowerOptions, type SettingsPeer, leaseMilliseconds } from './settingsFollower.ts'
export { type ForceReport } from './confirmations.ts'
