package org.laurelweir.membership;

/**
 * The mean load of all backend servers of one service.
 *
 * @param service the service's name
 * @param meanWork running work per unit of weight, in token units
 * @param backends the number of backend servers in the mean
 */
public record ServiceLoad(String service, double meanWork, int backends) {}
