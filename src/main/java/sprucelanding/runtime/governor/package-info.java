/**
 * The running governor: one thread on a selector owns the decision module, tells it what happens
 * and does what it orders. Fronts, which speak to proxies in their own threads, hand over through
 * bounded queues and are handed messages; the core never waits for one, nor for a disk or a log.
 */
package sprucelanding.runtime.governor;
