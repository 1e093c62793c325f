package org.laurelweir.contention;

/**
 * The mean demand at the backend servers of a service that accept new requests.
 *
 * @param service the service
 * @param tokens mean number of tokens held per backend server
 */
public record MeanDemand(String service, double tokens) {}
