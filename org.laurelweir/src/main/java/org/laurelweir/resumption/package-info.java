/**
 * What is known of streams that callers may go on with after they broke off: which software version
 * of which service began them.
 */
package org.laurelweir.resumption;
