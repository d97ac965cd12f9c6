/**
 * Decides how one device that takes edits is brought to what it should hold: when to gather, lock,
 * edit, commit and confirm; what a time-out of unknown outcome means, and how long a lock held by
 * others is waited for. No I/O and no clock of its own: the front tells what came and does what is
 * asked, one operation at a time.
 */
package sprucelanding.control.edits;
