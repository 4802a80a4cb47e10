/** The gateway program that runs on the platform's VMs. */
export { Forwarder } from './forwarder.ts'
export { composeForwarder, type ForwarderOptions } from './composition.ts'
export { type ForwarderDependencies } from './forwarderDependencies.ts'
