/**
 * Decides how a device that takes NETCONF edits is brought to its desired state: which device is
 * served next; when to lock, edit, commit and confirm; how to proceed after a timeout with an
 * unknown outcome; and how long to wait for a lock held by another session. The package does no I/O
 * and has no clock: the front reports events and performs the requested operations, one at a time
 * and all on one thread.
 */
package sprucelanding.control.edits;
