/**
 * Keeps what a governor was told and what it decided, block by block in a file, and decides again
 * from it: the same events give the same orders, and the first difference is shown. Writing is off
 * the loop and never delays an order.
 */
package sprucelanding.replay.capture;
