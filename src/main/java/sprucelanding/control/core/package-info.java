/**
 * Keeps what a governor knows of its fleet and pulls its decisions, without sockets or a clock: the
 * service and the emulator drive this same text. Its inputs may be overheard, for a capture.
 */
package sprucelanding.control.core;
