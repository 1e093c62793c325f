/**
 * The demand of all routers at each backend server and of each client account, in a deployment
 * whose engines run out of memory before they run out of slots.
 */
package org.laurelweir.contention;
