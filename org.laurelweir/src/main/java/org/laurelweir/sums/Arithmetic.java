package org.laurelweir.sums;

/**
 * How the values of {@link SharedSums} are added. Values are immutable and have {@code equals}.
 *
 * @param <V> the type of the values
 */
public interface Arithmetic<V> {
    /** Adds integers. */
    Arithmetic<Integer> INTEGERS =
            new Arithmetic<>() {
                @Override
                public Integer zero() {
                    return 0;
                }

                @Override
                public Integer plus(Integer a, Integer b) {
                    return a + b;
                }

                @Override
                public Integer minus(Integer a, Integer b) {
                    return a - b;
                }
            };

    /** Adds long integers. */
    Arithmetic<Long> LONGS =
            new Arithmetic<>() {
                @Override
                public Long zero() {
                    return 0L;
                }

                @Override
                public Long plus(Long a, Long b) {
                    return a + b;
                }

                @Override
                public Long minus(Long a, Long b) {
                    return a - b;
                }
            };

    /** Returns the value of an empty sum. */
    V zero();

    /** Returns the sum of two values. */
    V plus(V a, V b);

    /** Returns the first value less the second one. */
    V minus(V a, V b);
}
