/**
 * Code shared by the protocol fronts: submits notifications to the core, and counts the requests
 * that load reports contain.
 */
package sprucelanding.front;
