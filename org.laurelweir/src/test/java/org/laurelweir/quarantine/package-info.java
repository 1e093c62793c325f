/** Requests that end the backend servers which run them, in a fleet of reducers. */
package org.laurelweir.quarantine;
