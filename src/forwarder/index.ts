/** The gateway program on the users' machines. */
export { Forwarder } from './forwarder.ts'
export { composeForwarder, type ForwarderParts } from './composition.ts'
