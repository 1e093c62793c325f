package org.laurelweir.load;

/**
 * The mean load of the backend servers of a service that accept new requests.
 *
 * @param service the service
 * @param requests mean number of requests in flight per backend server
 */
public record MeanLoad(String service, double requests) {}
