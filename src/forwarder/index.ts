/** The gateway program on the users' machines. */
export { Forwarder } from './forwarder.ts'
export { composeForwarder, type ForwarderDependencies } from './composition.ts'
