/**
 * Keeps a governor's configuration, checked against its schema, and creates from it the parts that
 * need no sockets: controller, core and fleet membership. The service, captures and the emulator
 * share them.
 */
package sprucelanding.config.governor;
