package org.laurelweir.membership;

/**
 * The load of some of a service's backend servers, ready to be added up.
 *
 * @param service the service's name
 * @param work running work, in token units
 * @param backends how many backend servers it runs on
 * @param weight the sum of their weights
 */
public record ServiceSum(String service, double work, int backends, double weight) {
    /** Returns the sum over no backend server. */
    public static ServiceSum none(String service) {
        return new ServiceSum(service, 0, 0, 0);
    }

    /** Returns both sums together. */
    public ServiceSum plus(ServiceSum other) {
        return new ServiceSum(
                service, work + other.work, backends + other.backends, weight + other.weight);
    }

    /** Returns the mean per unit of weight; 0 without backend servers. */
    public ServiceLoad mean() {
        // Rounding errors of differences may leave a trace below zero.
        double mean = weight > 0 ? Math.max(0, work / weight) : 0;
        return new ServiceLoad(service, mean, backends);
    }
}
