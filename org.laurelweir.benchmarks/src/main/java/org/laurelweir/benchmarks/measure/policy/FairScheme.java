package org.laurelweir.benchmarks.measure.policy;

import java.util.function.Function;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;

/** The queueing schemes that are compared while one client account surges. */
public enum FairScheme {
    /** The sidecars' reducers, whose queue is fair among client accounts. */
    BY_ACCOUNT("sidecar reducers (ours)", r -> r.placement().account(), false),
    /**
     * The same reducers, with all requests under one account, so that the queue is first in, first
     * out.
     */
    FIRST_IN_FIRST_OUT("same, first in first out", r -> "all", false),
    /** Fair among client accounts, with a ceiling on the work of one engine. */
    BY_ACCOUNT_UNDER_CEILING("sidecar reducers, ceiling", r -> r.placement().account(), true),
    /** First in, first out, with the same ceiling. */
    FIRST_IN_FIRST_OUT_UNDER_CEILING("first in first out, ceiling", r -> "all", true),
    /** No admission control: requests wait in the engines' own first in, first out queues. */
    ENGINE_QUEUE("engine's queue alone", null, false);

    private final String mTitle;
    private final Function<Request, String> mAccount;
    private final boolean mHasCeiling;

    FairScheme(String title, Function<Request, String> account, boolean ceiling) {
        mTitle = title;
        mAccount = account;
        mHasCeiling = ceiling;
    }

    public String title() {
        return mTitle;
    }

    /** Creates the scheme for the fleet of one run. */
    public Scheme newScheme(Fleet fleet) {
        if (mAccount == null) {
            return Policy.RENDEZVOUS.newScheme(fleet);
        }
        double ceiling = mHasCeiling ? batchWork(fleet.deployment()) : Double.POSITIVE_INFINITY;
        return new ReducerScheme(fleet, mAccount, ceiling);
    }

    /** Returns the work of a full batch, in work units. Requests over it wait in the engine. */
    private static double batchWork(Deployment deployment) {
        return deployment.engine().maxRunning() * deployment.chats().output().mean();
    }
}
