package org.laurelweir.standin.load;

import java.util.List;
import java.util.Random;

/**
 * The client accounts, by their bearer keys, with uneven shares: the account at place n, from 1,
 * has a weight of n to the power of minus the unevenness.
 *
 * @param keys the bearer keys, largest account first
 * @param unevenness 0 for equal shares
 */
public record Accounts(List<String> keys, double unevenness) {
    /** Draws an account's key. */
    public String draw(Random random) {
        double all = 0;
        for (int i = 0; i < keys.size(); i++) {
            all += weight(i);
        }
        double left = random.nextDouble() * all;
        for (int i = 0; i < keys.size(); i++) {
            left -= weight(i);
            if (left < 0) {
                return keys.get(i);
            }
        }
        return keys.get(keys.size() - 1);
    }

    private double weight(int place) {
        return Math.pow(place + 1, -unevenness);
    }
}
