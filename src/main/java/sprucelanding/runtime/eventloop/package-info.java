/**
 * One thread on a selector: connections, timers and a bounded mailbox, for the governor's core and
 * the stand-ins alike. A loop is opened with a name and run by a thread of its own; all that it
 * calls runs on that thread, and nothing called there may block.
 */
package sprucelanding.runtime.eventloop;
