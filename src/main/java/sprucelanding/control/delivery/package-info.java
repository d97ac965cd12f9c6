/**
 * Decides for each proxy which resources it should hold, which update is sent next, and in which
 * order resources are sent (make before break, as xDS requires). The package also decides which
 * streams are admitted when many proxies connect at the same time. It tracks the resources that
 * each proxy is known to hold and the updates that the proxy has not answered. The package does no
 * I/O and has no clock: the host reports events and takes decisions one by one until there are none
 * left, all on one thread. {@link sprucelanding.control.delivery.Delivery} serves all fronts.
 */
package sprucelanding.control.delivery;
