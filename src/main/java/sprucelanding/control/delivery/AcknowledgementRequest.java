package sprucelanding.control.delivery;

/**
 * A request to be told when all orders up to a point are settled at a proxy.
 *
 * @param serial number under which the controller asked
 * @param orderStamp stamp of the last order that it covers
 */
record AcknowledgementRequest(int serial, long orderStamp) {}
