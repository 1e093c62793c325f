package org.laurelweir.runtime.rpc;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import net.openhft.hashing.LongHashFunction;

/** The order in which a program tries control instances. */
@FunctionalInterface
public interface ControlOrder {
    /** The configured order, nearest first, followed by the learned instances. */
    ControlOrder GIVEN = (given, learned) -> appendNew(given, learned);

    /**
     * Returns the instances in the order in which to try them.
     *
     * @param given instances from the settings file, host:port
     * @param learned instances that control reported, host:port
     * @return all instances, without duplicates
     */
    List<String> order(List<String> given, List<String> learned);

    /**
     * Returns an order for programs that do not know which instance is near: an instance on the
     * same host first, the others by a hash of the program's name and the instance's address.
     * Without this order, all programs that list the same instances try the first one. After a
     * start of the whole fleet, that instance alone sends the whole settings tree to all routers,
     * which takes it half a second, while the other instances are idle.
     *
     * @param name the program's name, unique in the deployment
     * @param host the program's own host
     */
    static ControlOrder spread(String name, String host) {
        ToLongFunction<String> rank =
                a -> a.startsWith(host + ":") ? Long.MIN_VALUE : rankOf(name, a);
        return (given, learned) -> {
            List<String> all = appendNew(given, learned);
            all.sort(Comparator.comparingLong(rank));
            return all;
        };
    }

    private static long rankOf(String name, String address) {
        return LongHashFunction.xx3().hashChars(name + '@' + address);
    }

    private static List<String> appendNew(List<String> given, List<String> learned) {
        List<String> all = new ArrayList<>(given);
        learned.stream().filter(a -> !all.contains(a)).sorted().forEach(all::add);
        return all;
    }
}
