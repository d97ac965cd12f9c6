/**
 * Decides, for each proxy, what it should hold, what is sent next and in which order (make before
 * break, as xDS asks for), and which streams are admitted when many connect at once; keeps what
 * each is known to hold and what it has not answered. No I/O and no clock of its own: the host
 * passes events in and pulls decisions one by one until there is none, all on one thread. {@link
 * sprucelanding.control.delivery.Delivery} serves every front.
 */
package sprucelanding.control.delivery;
