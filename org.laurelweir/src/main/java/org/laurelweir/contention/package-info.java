/**
 * What competes for room in a deployment whose engines run out of memory before they run out of
 * slots: the demand of all routers at each backend server and of each client account.
 */
package org.laurelweir.contention;
