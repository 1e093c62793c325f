package org.laurelweir.benchmarks.measure.policy;

import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;

/**
 * Reads the current cache and work of every engine, without lag. It places a chat on the engine
 * that caches the most tokens of its history, however loaded that engine is; among equals, on the
 * engine with the least work. Its cache reuse is the upper bound for the other policies.
 */
final class OracleScheme implements Scheme {
    private final Fleet mFleet;

    OracleScheme(Fleet fleet) {
        mFleet = fleet;
    }

    @Override
    public void onArrival(Request request) {
        mFleet.start(request, bestEngine(request));
    }

    private Engine bestEngine(Request request) {
        Engine best = null;
        int maxCached = -1;
        for (Engine e : mFleet.engines(request.turn().chat().service())) {
            if (!e.isAlive() || e.isDraining()) {
                continue;
            }
            int cached = e.cache().peek(request.turn().chat().id());
            if (cached > maxCached || cached == maxCached && e.work() < best.work()) {
                best = e;
                maxCached = cached;
            }
        }
        return best;
    }

    @Override
    public String initialEngine(Request request) {
        var engines = mFleet.engines(request.turn().chat().service());
        long hash = request.turn().chat().key().hash();
        return engines.get((int) Long.remainderUnsigned(hash, engines.size())).id();
    }
}
