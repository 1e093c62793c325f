package org.laurelweir.runtime.rpc;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import net.openhft.hashing.LongHashFunction;

/** In which order a program asks control instances. */
@FunctionalInterface
public interface ControlOrder {
    /** As they are given, the nearest first; those learned later come behind. */
    ControlOrder GIVEN = (given, learned) -> behind(given, learned);

    /**
     * Puts instances in order.
     *
     * @param given those of the settings, host:port
     * @param learned those that control names, host:port
     * @return all of them, none twice
     */
    List<String> order(List<String> given, List<String> learned);

    /**
     * Returns an order for programs that can't tell which instance is near: one on the same machine
     * first, the others in an order drawn from the program's name. Without it every program of a
     * deployment that lists the same instances asks the first of them. After a start of everything
     * that one instance sends the whole settings tree to all routers, which took it half a second,
     * while the others have nothing to do.
     *
     * @param name the program's name, unique in the deployment
     * @param host where the program itself is reached
     */
    static ControlOrder spread(String name, String host) {
        ToLongFunction<String> rank =
                a -> a.startsWith(host + ":") ? Long.MIN_VALUE : rankOf(name, a);
        return (given, learned) -> {
            List<String> all = behind(given, learned);
            all.sort(Comparator.comparingLong(rank));
            return all;
        };
    }

    private static long rankOf(String name, String address) {
        return LongHashFunction.xx3().hashChars(name + '@' + address);
    }

    private static List<String> behind(List<String> given, List<String> learned) {
        List<String> all = new ArrayList<>(given);
        learned.stream().filter(a -> !all.contains(a)).sorted().forEach(all::add);
        return all;
    }
}
