/**
 * Decides, for each proxy, what it is known to hold, what is under way to it and what goes next;
 * and which streams are let in when many dial at once. No I/O and no clock of its own: the host
 * tells what happened and pulls decisions one by one until there is none. It serves every front;
 * the kinds and their order are those of xDS, make before break.
 */
package sprucelanding.control.delivery;
