package sprucelanding.control.delivery;

/**
 * Request for a notification when all orders up to a given one are settled at a proxy, that is,
 * when each of them has been accepted or rejected.
 *
 * @param serial serial number that the controller gave the request
 * @param orderStamp stamp of the last order that the request covers
 */
record AcknowledgementRequest(int serial, long orderStamp) {}
