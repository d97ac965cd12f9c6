/**
 * Decides, from captures of a service, what its fleet was like: what was asked for, how fast each
 * replica was and when it was slower or out, which zones were cut off, which governors stood still,
 * and how sure that is. No I/O and no clock.
 */
package sprucelanding.replay.estimate;
