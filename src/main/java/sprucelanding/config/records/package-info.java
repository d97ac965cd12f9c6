/**
 * Settings and day scripts as typed records, in the manner of CUE: read (an ANTLR grammar), unified
 * with the definitions that they must meet, and bound to plain Java records. Errors name file,
 * line, column and field, several at a time.
 */
package sprucelanding.config.records;
