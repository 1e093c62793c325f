/**
 * The program on an entry instance: takes callers' HTTP requests to backend servers by way of their
 * sidecars. This package puts the parts together; the decisions are in {@code
 * org.laurelweir.routing}.
 */
package org.laurelweir.router;
