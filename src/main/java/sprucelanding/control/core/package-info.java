/**
 * Keeps a governor's view of its fleet and pulls its decisions, without sockets or a clock: the
 * service and the emulator run this same code. {@link sprucelanding.control.core.GovernorCore} is
 * one governor, {@link sprucelanding.control.core.SharedGovernorCore} one of several. All calls
 * come from one thread. The inputs of the controller can be recorded on their way.
 */
package sprucelanding.control.core;
