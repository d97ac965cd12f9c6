/**
 * The command line: what can be started, and what it is told. The adapter starts without any of the
 * libraries.
 */
package sprucelanding.cli;
