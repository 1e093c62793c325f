/**
 * Conversions between the core's records and the messages on the network and in the log. The
 * messages themselves are generated into {@code org.laurelweir.wire.v1}.
 */
package org.laurelweir.wire;
