/** Calls on the backend server over HTTP/1.1, with answers passed on as they come. */
package org.laurelweir.sidecar.backend;
