/**
 * What proxies are sent for what the decision module orders, without I/O and without a clock. The
 * host tells Keeps which proxies join and leave and passes it the orders of one moment; then it
 * calls flush, which gives at most one Update for each joined proxy, with the lines that it costs
 * in the channel.
 */
package sprucelanding.control.distribution;
