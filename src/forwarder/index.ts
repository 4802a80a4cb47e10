/** The gateway program that runs on the platform's VMs. */
export { Forwarder } from './forwarder.ts'
export { composeForwarder, type ForwarderDependencies } from './composition.ts'
