package sprucelanding.config.records;

/**
 * Text of one file or resource.
 *
 * @param name name of the text in faults
 * @param text content of the file or resource
 */
record Source(String name, String text) {}
