/**
 * Keeps a governor's view of its fleet and takes its decisions, without sockets and without a
 * clock. The service and the emulator run the same code. {@link
 * sprucelanding.control.core.GovernorCore} is a single governor, {@link
 * sprucelanding.control.core.SharedGovernorCore} is one of several governors. All calls come from
 * one thread. The controller's inputs can be recorded.
 */
package sprucelanding.control.core;
