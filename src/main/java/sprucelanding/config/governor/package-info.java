/**
 * Keeps a governor's configuration, which is checked against a schema. Creates from it the parts of
 * a governor that need no sockets: controller, core and fleet membership. The service, the replay
 * of captures and the emulator share these parts.
 */
package sprucelanding.config.governor;
