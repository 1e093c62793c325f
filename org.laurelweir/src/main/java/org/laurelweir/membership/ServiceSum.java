package org.laurelweir.membership;

/**
 * The summed load of some of a service's backend servers; sums can be added.
 *
 * @param service the service's name
 * @param work running work, in token units
 * @param backends the number of backend servers
 * @param weight the sum of their weights
 */
public record ServiceSum(String service, double work, int backends, double weight) {
    /** Returns the sum over no backend servers. */
    public static ServiceSum zero(String service) {
        return new ServiceSum(service, 0, 0, 0);
    }

    /** Returns the total of both sums. */
    public ServiceSum plus(ServiceSum other) {
        return new ServiceSum(
                service, work + other.work, backends + other.backends, weight + other.weight);
    }

    /** Returns the mean per unit of weight; 0 without backend servers. */
    public ServiceLoad mean() {
        // Rounding errors of the differences may make the sum slightly negative.
        double mean = weight > 0 ? Math.max(0, work / weight) : 0;
        return new ServiceLoad(service, mean, backends);
    }
}
