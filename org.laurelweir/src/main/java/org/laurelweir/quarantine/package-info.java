/**
 * Requests that end the backend servers which run them: who saw which server end under which
 * request, told to every router, and which requests are kept away from backend servers for it.
 */
package org.laurelweir.quarantine;
