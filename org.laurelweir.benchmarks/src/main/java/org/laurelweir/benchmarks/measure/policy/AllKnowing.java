package org.laurelweir.benchmarks.measure.policy;

import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;

/**
 * Sees every cache and load as it is, and gives a chat to the engine with the most of its history,
 * whatever that carries; else to the one with the least work. The bound for cache reuse.
 */
final class AllKnowing implements Scheme {
    private final Fleet mFleet;

    AllKnowing(Fleet fleet) {
        mFleet = fleet;
    }

    @Override
    public void onArrival(Request request) {
        mFleet.start(request, best(request));
    }

    private Engine best(Request request) {
        Engine best = null;
        int most = -1;
        for (Engine e : mFleet.engines(request.turn().chat().service())) {
            if (!e.isAlive() || e.isDraining()) {
                continue;
            }
            int cached = e.cache().peek(request.turn().chat().id());
            if (cached > most || cached == most && e.work() < best.work()) {
                best = e;
                most = cached;
            }
        }
        return best;
    }

    @Override
    public String earlierPlace(Request request) {
        var engines = mFleet.engines(request.turn().chat().service());
        long hash = request.turn().chat().key().hash();
        return engines.get((int) Long.remainderUnsigned(hash, engines.size())).id();
    }
}
