/** Calls to the backend server over HTTP/1.1, whose answers are streamed as they arrive. */
package org.laurelweir.sidecar.backend;
