/**
 * Decides how a device that takes NETCONF edits is brought to what it should hold: which device is
 * served next, when to lock, edit, commit and confirm, what a timeout of unknown outcome means, and
 * how long a lock held by others is waited for. No I/O and no clock of its own: the front reports
 * what happened and does what is asked, one operation at a time and all on one thread.
 */
package sprucelanding.control.edits;
