/** Conversions between the core's records and the generated messages between processes. */
package org.laurelweir.wire;
