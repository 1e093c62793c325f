/**
 * Routing decisions of a router: the backend server of each request, retries, the timeout of silent
 * connections, and the answer to the caller.
 */
package org.laurelweir.routing;
