/** What a governor is told at its start, checked, and the parts without sockets that come of it. */
package sprucelanding.config.governor;
