/**
 * Converts between the core's records and the generated protocol buffer messages that processes
 * exchange.
 */
package org.laurelweir.wire;
