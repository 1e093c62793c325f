package org.laurelweir.standin.load;

import java.util.List;
import java.util.Random;

/**
 * The client accounts, by their bearer keys, with uneven shares of the chats. The account at rank
 * n, from 1, has a weight of n to the power of minus the unevenness.
 *
 * @param keys the bearer keys, largest account first
 * @param unevenness 0 for equal shares
 */
public record Accounts(List<String> keys, double unevenness) {
    /** Returns the key of a randomly drawn account. */
    public String draw(Random random) {
        double total = 0;
        for (int i = 0; i < keys.size(); i++) {
            total += weight(i);
        }
        double left = random.nextDouble() * total;
        for (int i = 0; i < keys.size(); i++) {
            left -= weight(i);
            if (left < 0) {
                return keys.get(i);
            }
        }
        return keys.get(keys.size() - 1);
    }

    private double weight(int index) {
        return Math.pow(index + 1, -unevenness);
    }
}
