/**
 * What a router decides: where a request goes, when it is tried again, when a silent connection is
 * given up, and what the caller is told.
 */
package org.laurelweir.routing;
