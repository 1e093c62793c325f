package org.laurelweir.load;

/**
 * The mean load of a service's backend servers that take new work.
 *
 * @param service the service
 * @param requests requests that a backend server has on the mean
 */
public record MeanLoad(String service, double requests) {}
