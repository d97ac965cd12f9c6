package sprucelanding.config.records;

/**
 * A text to read.
 *
 * @param name how faults in it refer to it
 * @param text its content
 */
record Source(String name, String text) {}
