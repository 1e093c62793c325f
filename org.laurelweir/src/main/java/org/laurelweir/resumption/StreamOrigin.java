package org.laurelweir.resumption;

/**
 * What began a stream. It may go on only at a backend server of the same service and version.
 *
 * @param service the service of the backend server
 * @param version the software version of the backend server, empty if the server announces none
 */
public record StreamOrigin(String service, String version) {}
