/**
 * How an instance of the decision module is opened from the settings object that the operators
 * write, the same for the simulator's wire and for the platform: read it with Opening, then take
 * the Choice from it, and what the door needs to know. With it, what both wires share: Malformed
 * and Decimals.
 */
package sprucelanding.control.settings;
