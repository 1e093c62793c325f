/**
 * Quarantine of requests that crash the backend servers which run them. Routers record which
 * requests were running when a server crashed, and share the records through control. A request
 * that likely causes crashes is quarantined: no router sends it to a backend server.
 */
package org.laurelweir.quarantine;
