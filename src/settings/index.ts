/** Settings: the operators' subtrees, the local settings file of a daemon, and their validation. */
export { subtreeSchema, RollOutState, type Subtree, type RollOutSettings, type OperationSettings, type OrganisationSettings, type SessionKeySettings } from './schema.ts'
export { localSchema, type LocalSettings } from './local.ts'
export { checkText, checkDocument, describeFault, type Fault } from './check.ts'
export { SettingsView, versionForNewSession, type OrganisationView, type VersionView, type RollOutView } from './view.ts'
