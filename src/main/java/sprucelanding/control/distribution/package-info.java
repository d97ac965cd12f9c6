/**
 * Keeps the routing tables as they were ordered, and determines the updates that each connected
 * proxy must be sent.
 *
 * <p>A table has three states. The <em>desired</em> state is the one that the modules of {@link
 * sprucelanding.control.decision} aim at; the state is not visible here. The <em>ordered</em> state
 * is the one that these modules have passed to their output so far. {@link
 * sprucelanding.control.distribution.TableDistributor} keeps the ordered state of each table, and
 * the difference between that state and the updates that each proxy was sent. The
 * <em>acknowledged</em> state is the one that a proxy has confirmed; the host passes
 * acknowledgements to the controller directly.
 *
 * <p>A host reports the proxies that join and leave, and passes on the orders of one batch. The
 * host then flushes the batch and receives at most one {@link
 * sprucelanding.control.distribution.ProxyUpdate} for each connected proxy. An update also gives
 * its cost in the channel, in table entries.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. The classes are not synchronized and
 * must be called by one thread only.
 */
package sprucelanding.control.distribution;
