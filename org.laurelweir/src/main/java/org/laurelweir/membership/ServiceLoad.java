package org.laurelweir.membership;

/**
 * The load of one service over all its backend servers.
 *
 * @param service the service's name
 * @param meanWork running work per unit of weight, in token units
 * @param backends how many backend servers the mean is over
 */
public record ServiceLoad(String service, double meanWork, int backends) {}
