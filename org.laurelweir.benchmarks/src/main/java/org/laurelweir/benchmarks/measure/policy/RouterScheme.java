package org.laurelweir.benchmarks.measure.policy;

import java.util.List;
import java.util.function.IntFunction;
import org.laurelweir.benchmarks.measure.fleet.ControlBytes;
import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.PlacementHints;
import org.laurelweir.placement.PlacementPolicy;

/**
 * Routers that place requests without sidecars. A router sends a request to the first candidate
 * that is alive and not draining, whatever that server's load.
 */
final class RouterScheme implements Scheme {
    private final Fleet mFleet;
    private final PlacementPolicy mPolicy;
    private final IntFunction<PlacementHints> mHints;
    private final int mBytesPerRequest;

    /**
     * Creates a scheme.
     *
     * @param hints the load hints of a router, by its index
     * @param bytesPerRequest control bytes that the policy costs for each request
     */
    RouterScheme(
            Fleet fleet,
            PlacementPolicy policy,
            IntFunction<PlacementHints> hints,
            int bytesPerRequest) {
        mFleet = fleet;
        mPolicy = policy;
        mHints = hints;
        mBytesPerRequest = bytesPerRequest;
    }

    @Override
    public void onArrival(Request request) {
        mFleet.controlBytes().addPerRequest(mBytesPerRequest);
        int router = request.turn().router();
        for (Candidate c : candidates(request, router)) {
            Engine e = mFleet.engine(c.id());
            if (e.isAlive() && !e.isDraining()) {
                noteSent(router, request, e);
                mFleet.start(request, e);
                return;
            }
            request.addHop();
            mFleet.controlBytes().addPerRequest(ControlBytes.FAILOVER);
        }
        mFleet.reject(request);
    }

    private List<Candidate> candidates(Request request, int router) {
        int service = request.turn().chat().service();
        return mPolicy.place(
                        request.placement(),
                        mFleet.routerView(router, service),
                        mHints.apply(router))
                .candidates();
    }

    private void noteSent(int router, Request request, Engine engine) {
        if (mHints.apply(router) instanceof ReportedLoads loads) {
            loads.noteSent(engine.id(), request.placement().work().outputTokens());
        }
    }

    @Override
    public String initialEngine(Request request) {
        return candidates(request, 0).get(0).id();
    }
}
